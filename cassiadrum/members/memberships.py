"""Members of one role, from the instance list and the state of connections."""

from collections.abc import Iterable

from cassiadrum.defaults import LIMITS
from cassiadrum.members.member_changes import ChangeKind, MemberChange
from cassiadrum.members.member_states import MemberState
from cassiadrum.stores.instances import Instance

__all__ = ["REMOVAL_LIMIT_S", "Membership"]

# After this long without a connection, a sidecar has cancelled the streams of this process.
REMOVAL_LIMIT_S = LIMITS.DETACHED_STREAM_TIMEOUT_S
# A connection that was merely reset is restored within this time, so a different address in the
# list is used only afterwards.
MOVE_DELAY_S = 1.0


class Membership:
    """The members of one role; `now` is monotonic seconds.

    The list may be outdated or wrong. It adds members and marks them as leaving, but a member is
    removed only after it has been neither listed nor connected for REMOVAL_LIMIT_S. An empty list
    is taken as a fault of the list and ignored.
    """

    def __init__(self, role: str) -> None:
        self._role = role
        self._states: dict[str, MemberState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def member(self, instance: str) -> Instance | None:
        """Return the entry used to dial a member, None if it is unknown."""
        state = self._states.get(instance)
        return state.member if state else None

    def is_leaving(self, instance: str) -> bool:
        """Return whether a member is leaving and must get no new work."""
        state = self._states.get(instance)
        return state is not None and state.leaving

    def apply_list(self, instances: Iterable[Instance], now: float) -> list[MemberChange]:
        """Apply a list that was read; return the changes."""
        found = {entry.instance: entry for entry in instances}
        if not found:
            return self.tick(now)
        changes: list[MemberChange] = []
        for name, entry in found.items():
            if entry.role != self._role:
                continue
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = MemberState(entry, now)
                changes.append(MemberChange(ChangeKind.JOINED, entry))
            state.listed = entry
            state.unlisted_since_s = None
        for name, state in self._states.items():
            if name not in found and state.unlisted_since_s is None:
                state.unlisted_since_s = now
        return changes + self.tick(now)

    def mark_connected(self, instance: str) -> None:
        """Record that a member is connected."""
        if instance in self._states:
            self._states[instance].disconnected_since_s = None

    def mark_disconnected(self, instance: str, now: float) -> None:
        """Record that the connection to a member was lost."""
        state = self._states.get(instance)
        if state is not None and state.disconnected_since_s is None:
            state.disconnected_since_s = now

    def apply_report(self, instance: str, leaving: bool, now: float) -> list[MemberChange]:
        """Apply a member's own report whether it is leaving; return the changes."""
        state = self._states.get(instance)
        if state is None:
            return []
        state.reports_leaving = leaving
        return self._update_state(state, now)

    def tick(self, now: float) -> list[MemberChange]:
        """Remove members past REMOVAL_LIMIT_S and update moved ones; return the changes."""
        changes: list[MemberChange] = []
        for name, state in list(self._states.items()):
            if state.unreachable_s(now) >= REMOVAL_LIMIT_S:
                del self._states[name]
                changes.append(MemberChange(ChangeKind.LEFT, state.member))
            else:
                changes += self._update_state(state, now)
        return changes

    def _update_state(self, state: MemberState, now: float) -> list[MemberChange]:
        changes: list[MemberChange] = []
        # A working connection is kept even if the list has another address.
        silent_s = 0.0 if state.disconnected_since_s is None else now - state.disconnected_since_s
        if state.has_moved and silent_s >= MOVE_DELAY_S:
            state.member = state.listed
            state.reports_leaving = False
            changes.append(MemberChange(ChangeKind.MOVED, state.member))
        if state.should_leave != state.leaving:
            state.leaving = state.should_leave
            kind = ChangeKind.LEAVING if state.leaving else ChangeKind.RETURNED
            changes.append(MemberChange(kind, state.member))
        return changes
