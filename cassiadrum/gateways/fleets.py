"""Division of figures that are stated for all gateways of a deployment together."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import xxhash

__all__ = ["MAX_OVERSHOOT", "Fleet", "FleetMember", "FleetShares", "SingleGateway"]

# Upper bound on the sum of all shares while some gateways cannot read the list of members.
MAX_OVERSHOOT: Final = 1.5
# Fraction of its share that a gateway keeps for a time while its list of members is outdated.
OUTDATED_FRACTION: Final = 0.5
# Fraction of a strict total of which each gateway uses the whole cap without a current list. The
# rest, divided by MAX_OVERSHOOT, is shared by the gateways with longer lists.
CAPPED_FRACTION: Final = 0.4
SHARED_FRACTION: Final = (1 - CAPPED_FRACTION) / MAX_OVERSHOOT
# Time for which the holders of a figure stay the same if it has fewer holders than gateways.
TURN_S: Final = 20.0
# Time after the first list for which a new gateway waits for its registration.
JOIN_WAIT_S: Final = 1.0


class FleetMember(NamedTuple):
    """A registered gateway.

    It counts between two boot times in seconds, which are the same moments for all gateways.
    """

    name: str
    counts_from_s: float
    expires_s: float

    def counts(self, now: float) -> bool:
        """Return whether figures are divided among this gateway as well."""
        return self.counts_from_s <= now < self.expires_s


class FleetShares(ABC):
    """The parts of figures for all gateways that one gateway may use."""

    @property
    @abstractmethod
    def size(self) -> int:
        """Return the number of registered gateways, this one included."""

    @property
    @abstractmethod
    def is_settled(self) -> bool:
        """Return whether this gateway has its part, or has waited long enough for it."""

    @abstractmethod
    def share(self, key: str, max_holders: int) -> float:
        """Return the fraction, from 0 to 1, of the figure `key` that this gateway may use.

        At most `max_holders` gateways get a part of it at a time, and they take turns. All
        gateways together get at most MAX_OVERSHOOT.
        """

    @abstractmethod
    def is_holder(self, key: str, max_holders: int) -> bool:
        """Return whether this gateway is among those that get a part of the figure `key`.

        All members of the last list count, however old the list is.
        """

    @abstractmethod
    def rank(self, key: str) -> int:
        """Return the position of this gateway in an order of all, which differs by key.

        All members of the last list count, however old the list is.
        """

    @abstractmethod
    def part(self, total: float, cap: float) -> float:
        """Return this gateway's part of a strict total, at most `cap`.

        The parts of all gateways together are at most `total`.
        """


class SingleGateway(FleetShares):
    """A gateway without others."""

    @property
    def size(self) -> int:
        """Return 1."""
        return 1

    @property
    def is_settled(self) -> bool:
        """Return True."""
        return True

    def share(self, key: str, max_holders: int) -> float:
        """Return the whole figure."""
        return 1.0

    def is_holder(self, key: str, max_holders: int) -> bool:
        """Return True."""
        return True

    def rank(self, key: str) -> int:
        """Return 0."""
        return 0

    def part(self, total: float, cap: float) -> float:
        """Return the total up to the cap."""
        return min(total, cap)


class Fleet(FleetShares):
    """The registered gateways, as one of them knows them; times are boot-time seconds.

    Each gateway divides a figure among the members in its own list. The sum of all shares stays
    within MAX_OVERSHOOT although the lists differ:

    - A new gateway counts from `outdated_s` after its registration, when the lists of all others
      contain it or are outdated. All gateways begin to count it at the same time.
    - A gateway whose list is outdated, or lacks itself, uses half of its share for `outdated_s`
      more and then nothing. Gateways that do not know each other are never in that state at the
      same time, so together they get at most half of the figure.
    - A gateway whose registration expires uses nothing from then on, and one that could renew it
      only shortly before its end joins again: others may have read their lists already and divide
      without it from the old end on.
    - A member that a new list lacks counts for `outdated_s` longer, as a store that was restored
      from an older copy has lost the newest registrations.
    """

    def __init__(self, name: str, outdated_s: float, boot_clock: Callable[[], float]) -> None:
        # Age at which a list of members is outdated.
        self.outdated_s = outdated_s
        self._name = name
        self._boot_clock = boot_clock
        self._members: dict[str, FleetMember] = {}
        # Names of the members that count until the time of the next change.
        self._counted: frozenset[str] = frozenset()
        self._next_change_s = float("-inf")
        # Whether the last list contained this gateway, and when such a list was last current.
        self._is_listed = False
        self._confirmed_s = float("-inf")
        self._first_list_s = float("inf")
        self._registered_s: float | None = None
        # Times between which this gateway may use shares.
        self._active_s = float("inf")
        self._valid_until_s = float("inf")
        # Boot time at which the clock that all gateways share was 0.
        self._shared_clock_zero_s = 0.0
        # Turn and rank of this gateway among the counted members by figure.
        self._ranks: dict[str, tuple[int, int]] = {}

    @property
    def size(self) -> int:
        """Return the number of registered gateways, this one included."""
        return len(self._members) + (self._name not in self._members)

    @property
    def is_settled(self) -> bool:
        """Return whether the list contains this gateway, or the wait for it has ended."""
        return self._is_known or self._boot_clock() >= self._first_list_s + JOIN_WAIT_S

    def replace(self, members: Iterable[FleetMember], zero_s: float) -> None:
        """Replace the list of members; `zero_s` is the boot time of 0 on the shared clock."""
        now = self._boot_clock()
        self._first_list_s = min(self._first_list_s, now)
        listed = {member.name: member for member in members if member.expires_s > now}
        self._is_listed = self._name in listed
        missing = {
            name: member._replace(expires_s=min(member.expires_s, now + self.outdated_s))
            for name, member in self._members.items()
            if name not in listed and member.expires_s > now
        }
        self._members = {**missing, **listed}
        self._shared_clock_zero_s = zero_s
        self._next_change_s = float("-inf")

    def confirm(self, read_s: float) -> None:
        """Record that the list of members was current at a time."""
        if self._is_listed:
            self._confirmed_s = max(self._confirmed_s, read_s)

    def can_renew(self, expires_s: float) -> bool:
        """Return whether lists that are read before a renewal now are outdated at `expires_s`."""
        return self._boot_clock() < expires_s - self.outdated_s

    def join(self, registered_s: float, valid_until_s: float, *, known_before: bool) -> None:
        """Record a registration at a time, or its renewal, that is valid until another time.

        `known_before` tells that all other gateways have counted this one already.
        """
        if self._registered_s is None:
            self._registered_s = registered_s
            self._active_s = registered_s + (0.0 if known_before else self.outdated_s)
        # The others stop counting this gateway at the end, on clocks that differ slightly.
        self._valid_until_s = valid_until_s - self.outdated_s

    def leave(self) -> None:
        """Record that the registration has expired."""
        self._registered_s = None
        self._active_s = float("inf")

    def share(self, key: str, max_holders: int) -> float:
        """Return the fraction of a figure that this gateway may use now."""
        now = self._boot_clock()
        fraction = self._usable_fraction(now)
        if fraction == 0.0:
            return 0.0
        self._update_counted(now)
        size = len(self._counted)
        holders = min(size, max_holders)
        if holders < size and self._rank(key, now) >= holders:
            return 0.0
        return fraction / holders

    def is_holder(self, key: str, max_holders: int) -> bool:
        """Return whether this gateway is one of the figure's holders among all that it knows."""
        return self._rank_among(self._members, key, self._turn(self._boot_clock())) < max_holders

    def rank(self, key: str) -> int:
        """Return the position of this gateway among all that it knows."""
        return self._rank_among(self._members, key, turn=0)

    def part(self, total: float, cap: float) -> float:
        """Return this gateway's part of a strict total, at most `cap`."""
        if not self._is_known or self._boot_clock() >= self._valid_until_s:
            return 0.0
        # The gateway that registered last has all others in its list, so no more than these use
        # the whole cap.
        if self.size * cap <= CAPPED_FRACTION * total:
            return cap
        return min(cap, SHARED_FRACTION * total * self.share("", self.size))

    @property
    def _is_known(self) -> bool:
        """Return whether a list that was read after the registration contains this gateway."""
        return self._registered_s is not None and self._confirmed_s >= self._registered_s

    def _usable_fraction(self, now: float) -> float:
        """Return the fraction of its share that this gateway may use."""
        if not self._active_s <= now < self._valid_until_s or self._confirmed_s < self._active_s:
            return 0.0
        age_s = now - self._confirmed_s
        if age_s <= self.outdated_s:
            return 1.0
        return OUTDATED_FRACTION if age_s <= 2 * self.outdated_s else 0.0

    def _update_counted(self, now: float) -> None:
        """Determine the members that count now; this gateway always does."""
        if now < self._next_change_s:
            return
        counted = {name for name, member in self._members.items() if member.counts(now)}
        self._counted = frozenset(counted | {self._name})
        changes = (
            at_s
            for member in self._members.values()
            for at_s in (member.counts_from_s, member.expires_s)
            if at_s > now
        )
        self._next_change_s = min(changes, default=float("inf"))
        self._ranks.clear()

    def _rank(self, key: str, now: float) -> int:
        """Return the position of this gateway in the current turn's order for a figure.

        The order of the others does not depend on a member that comes or goes, so that lists that
        differ in one member differ in one holder at most.
        """
        turn = self._turn(now)
        known_turn, rank = self._ranks.get(key, (None, 0))
        if known_turn != turn:
            rank = self._rank_among(self._counted, key, turn)
            self._ranks[key] = turn, rank
        return rank

    def _rank_among(self, names: Iterable[str], key: str, turn: int) -> int:
        seed = f"{key} {turn} "
        own = _score(seed, self._name)
        return sum(_score(seed, name) < own for name in names)

    def _turn(self, now: float) -> int:
        return int((now - self._shared_clock_zero_s) // TURN_S)


def _score(seed: str, name: str) -> int:
    return xxhash.xxh64_intdigest((seed + name).encode())
