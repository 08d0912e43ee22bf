"""A model of gateways and endpoints with whole requests that end each endpoint and come again."""

from functools import partial
from typing import NamedTuple

from cassiadrum.crash_evidence import Content, request_content
from cassiadrum.tests.harmful_fleets import (
    ANSWER_S,
    CONTACT_S,
    PREFILL_S,
    Arrival,
    HarmfulFleet,
    Request,
    Run,
    Sizes,
)

__all__ = ["DeadlyFleet", "RepeatedRequest"]

# Crashes from which on the users' rule counts arrivals.
RULE_CRASHES = 3
# Time after which a caller sends a failed request once more, to any gateway.
CALLER_DELAY_S = (0.05, 0.25)


class RepeatedRequest(NamedTuple):
    """A request that comes again and again, `every_s` seconds apart.

    It ends each endpoint if `is_deadly`. `max_sends` is the number of endpoints that its gateway
    may try, `prefill_s` the range of the time until its answer is begun, `answer_s` that of the
    time from then until it is whole.
    """

    number: int
    parts: tuple[str, ...]
    every_s: float
    is_deadly: bool = True
    max_sends: int = 2
    prefill_s: tuple[float, float] = PREFILL_S
    answer_s: tuple[float, float] = ANSWER_S

    @property
    def content(self) -> Content:
        """Return the content that stands for the whole request."""
        return request_content(b"%d" % -self.number)

    @property
    def label(self) -> str:
        """Return the name under which its crashes and arrivals are kept."""
        return f"deadly{self.number}" if self.is_deadly else ""

    def make(self) -> Request:
        """Return one such request."""
        request = Request(-self.number, self.parts, self.label, self.max_sends)
        request.prefill_s = self.prefill_s
        request.answer_s = self.answer_s
        return request


class DeadlyFleet(HarmfulFleet):
    """Gateways that share what they know through a store, which is away for `store_away_s`."""

    def __init__(
        self,
        sizes: Sizes,
        seed: int,
        repeated: tuple[RepeatedRequest, ...],
        store_away_s: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        self._repeated = repeated
        self._begun_s = 1000.0
        self._store_away_s = store_away_s
        # Requests whose caller sends them once more if they fail.
        self._first: set[Request] = set()
        # Outcomes of the sound repeated requests.
        self.answered = 0
        self.failed = 0
        super().__init__(sizes, seed)
        for found in repeated:
            self._after(3.0 + self._rng.random(), partial(self._come, found, 0))

    def deadly_arrivals(self, repeated: RepeatedRequest) -> int:
        """Return the arrivals that the users' rule counts."""
        crashes = self.crashes.get(repeated.label, [])
        if len(crashes) < RULE_CRASHES:
            return 0
        due_s = crashes[RULE_CRASHES - 1] + CONTACT_S
        return sum(
            arrival.part == repeated.label and arrival.at_s > due_s and self._was_in_touch(arrival)
            for arrival in self.arrivals
        )

    def blamed(self) -> set[Content]:
        """Return the contents that any gateway blames."""
        return {content for board in self.boards.values() for content in board.harmful}

    def _come(self, repeated: RepeatedRequest, gateway: int) -> None:
        request = repeated.make()
        self._first.add(request)
        self._send(request, gateway % self.sizes.gateways)
        self._after(
            repeated.every_s * self._rng.uniform(0.8, 1.2),
            partial(self._come, repeated, gateway + 1),
        )

    def _finish(self, run: Run) -> None:
        if not run.ended and run.request in self._first:
            self.answered += 1
        super()._finish(run)

    def _failed(self, run: Run) -> None:
        if run.begun or run.request not in self._first:
            return
        if not run.request.harmful:
            self.failed += 1
        again = Request(0, (), run.request.harmful, run.request.max_sends)
        again.content, again.contents = run.request.content, run.request.contents
        again.prefill_s, again.answer_s = run.request.prefill_s, run.request.answer_s
        gateway = self._rng.randrange(self.sizes.gateways)
        self._after(self._rng.uniform(*CALLER_DELAY_S), partial(self._send, again, gateway))

    # The store.

    def _was_in_touch(self, arrival: Arrival) -> bool:
        away_s, back_s = (self._begun_s + at_s for at_s in self._store_away_s)
        if away_s < arrival.at_s < back_s + CONTACT_S and back_s > away_s:
            return False
        return super()._was_in_touch(arrival)

    def _is_store_away(self) -> bool:
        away_s, back_s = self._store_away_s
        return away_s < self.now_s - self._begun_s < back_s

    def _write(self, gateway: int) -> None:
        if self._is_store_away():
            self._after(0.5, partial(self._write, gateway))
        else:
            super()._write(gateway)

    def _read_rows(self, gateway: int) -> None:
        if not self._is_store_away():
            super()._read_rows(gateway)
