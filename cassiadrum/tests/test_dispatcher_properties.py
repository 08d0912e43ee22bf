"""Property tests of the dispatcher's guarantees for a request under any order of events."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import Action, Cancel, Dispatch, ExecutionStatus, QueuedRequest, Refuse
from cassiadrum.tests.test_dispatcher_requests import (
    DONE,
    NOT_RUN,
    UNKNOWN,
    make_dispatcher,
    make_report,
    make_request,
)


class RequestRecord:
    """Apply events to a dispatcher and check each action against the events so far."""

    def __init__(self) -> None:
        self.dispatcher = make_dispatcher(endpoints=0, budget=0.3)
        self.now = 0.0
        self.running: dict[str, str] = {}
        self.ran: dict[str, ExecutionStatus] = {}
        self.requests: dict[str, QueuedRequest] = {}
        self.ended: Counter[str] = Counter()
        self.lost: set[str] = set()

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, Dispatch | Refuse)
            name = action.req.request_id
            if isinstance(action, Refuse):
                assert action.ran is self.ran[name]
                self.ended[name] += 1
                continue
            assert self.ran[name] is ExecutionStatus.NOT_EXECUTED or self.requests[name].idempotent
            assert name not in self.running
            assert action.instance not in self.lost
            self.running[name] = action.instance

    def step(self, kind: str, number: int) -> None:
        self.now += 1.0
        instance = f"e{number % 3}"
        if kind == "submit":
            name = f"r{len(self.requests)}"
            req = make_request(name, number % 2 == 0, number % 5)
            req = req._replace(arrived_s=self.now, deadline_s=self.now + 5 + number)
            self.requests[name], self.ran[name] = req, ExecutionStatus.NOT_EXECUTED
            self.apply(self.dispatcher.submit(req, self.now))
        elif kind == "report":
            self.lost.discard(instance)
            self.apply(self.dispatcher.report(make_report(instance, 2, self.now), self.now))
        elif kind == "lost":
            self.lost.add(instance)
            self.apply(self.dispatcher.endpoint_lost(instance, self.now))
        elif kind == "removed":
            self.lost.discard(instance)
            for name in [name for name, where in self.running.items() if where == instance]:
                del self.running[name]
                self.ran[name] = self.ran[name].combined(ExecutionStatus.UNKNOWN)
            self.apply(self.dispatcher.endpoint_removed(instance, self.now))
        elif kind == "tick":
            self.apply(self.dispatcher.tick(self.now))
        elif self.running:
            self.finish(sorted(self.running)[number % len(self.running)], kind)

    def finish(self, name: str, kind: str) -> None:
        del self.running[name]
        if kind == "cancel":
            self.ended[name] += 1
            actions = self.dispatcher.cancelled(name, self.now)
            assert [type(action) for action in actions] == [Cancel]
            self.apply(self.dispatcher.finished(name, UNKNOWN, self.now))
            return
        outcome = {"done": DONE, "failed": UNKNOWN, "rejected": NOT_RUN}[kind]
        if outcome.ok:
            self.ended[name] += 1
        self.ran[name] = self.ran[name].combined(outcome.ran)
        self.apply(self.dispatcher.finished(name, outcome, self.now))


KINDS = ["submit", "report", "lost", "removed", "tick", "done", "failed", "rejected", "cancel"]


class TestEveryRequest:
    """Guards against lost, duplicated and wrongly retried requests and untruthful refusals.

    Endpoints are lost and removed while requests wait, run, fail and are cancelled.
    """

    @given(st.lists(st.tuples(st.sampled_from([*KINDS, "submit", "report"]), st.integers(0, 9))))
    def test_each_request_ends_once_and_no_effect_is_repeated(
        self, steps: list[tuple[str, int]]
    ) -> None:
        record = RequestRecord()
        for kind, number in steps:
            record.step(kind, number)
        for number in range(3):
            record.step("removed", number)
        for _ in range(8):
            record.step("tick", 0)
        assert record.dispatcher.queued() == record.dispatcher.running() == 0
        assert record.ended == Counter(record.requests.keys())

    @given(st.integers(1, 60), st.sampled_from([0.0, 0.1, 0.5]))
    def test_retries_stay_within_the_budget(self, requests: int, budget: float) -> None:
        dispatcher = make_dispatcher(budget=budget)
        retries = 0
        for index in range(requests):
            name = f"r{index}"
            dispatcher.submit(make_request(name), index)
            while dispatcher.running():
                actions = dispatcher.finished(name, UNKNOWN, index)
                retries += sum(isinstance(action, Dispatch) for action in actions)
            assert retries <= budget * (index + 1) + 1e-6
