"""Tests of the scheduler that a sidecar uses for its endpoint."""

from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import (
    EndpointScheduler,
    LatencyTargets,
    LatencyTrackingLimit,
    Pause,
    PausePreemption,
    QueuedRequest,
    Reject,
    Resume,
    RunningStream,
    SchedulerAction,
    Start,
)

PAUSABLE = "draft"
TARGETS = LatencyTargets(1.0, 0.04)


def make_request(request_id: str, tier: int = 3, arrived_s: float = 0.0) -> QueuedRequest:
    """Return a request that is protected in tier 0 and pausable in the other tiers."""
    name = "status" if tier == 0 else PAUSABLE
    return QueuedRequest(request_id, "svc", name, tier, tier == 0, "customer", arrived_s)


def make_scheduler(limit: int = 2, queue_limit: int | None = None) -> EndpointScheduler:
    return EndpointScheduler(limit, queue_limit, PausePreemption([PAUSABLE]))


def action_names(actions: Sequence[SchedulerAction]) -> list[tuple[str, str]]:
    return [
        (
            type(action).__name__,
            action.req.request_id if isinstance(action, Start | Reject) else action.request_id,
        )
        for action in actions
    ]


class TestPausePreemption:
    """Guards against pausing a stream that must not be paused, or a worse choice of victim.

    The victim has the lowest tier and then the least progress, and a stream is paused only a
    limited number of times.
    """

    def stream(self, request_id: str, tier: int, tokens: int, pauses: int = 0) -> RunningStream:
        return RunningStream(make_request(request_id, tier), 0.0, tokens, pauses)

    def test_lowest_tier_then_least_progress(self) -> None:
        running = [self.stream("a", 2, 1), self.stream("b", 4, 9), self.stream("c", 4, 5)]
        assert PausePreemption([PAUSABLE]).choose_victim(make_request("p", 0), running, 0.0) == "c"

    def test_no_victim_for_unprotected_requests_or_among_unpausable_streams(self) -> None:
        running = [self.stream("a", 4, 1)]
        assert (
            PausePreemption([PAUSABLE]).choose_victim(make_request("n", 1), running, 0.0) is None
        )
        assert PausePreemption([]).choose_victim(make_request("p", 0), running, 0.0) is None

    def test_pauses_are_bounded(self) -> None:
        running = [self.stream("a", 4, 1, pauses=2)]
        policy = PausePreemption([PAUSABLE], max_pauses=2)
        assert policy.choose_victim(make_request("p", 0), running, 0.0) is None


class TestEndpointScheduler:
    """Guards against lost, duplicated or wrongly ordered work at a full endpoint.

    Protected requests pause streams; these resume, while other requests wait or are rejected.
    """

    def test_protected_request_pauses_and_the_stream_resumes_before_new_work(self) -> None:
        scheduler = make_scheduler(limit=1, queue_limit=2)
        scheduler.submit(make_request("low", 4), 0.0)
        protected = scheduler.submit(make_request("high", 0), 1.0)
        assert action_names(protected) == [("Pause", "low"), ("Start", "high")]
        scheduler.submit(make_request("new", 4), 2.0)
        assert action_names(scheduler.finished("high", 3.0)) == [("Resume", "low")]
        assert action_names(scheduler.finished("low", 4.0)) == [("Start", "new")]

    def test_protected_request_waits_first_at_an_endpoint_without_pauses(self) -> None:
        scheduler = EndpointScheduler(1, 1)
        scheduler.submit(make_request("running", 4), 0.0)
        scheduler.submit(make_request("low", 4), 0.0)
        assert action_names(scheduler.submit(make_request("high", 0), 1.0)) == [("Reject", "low")]
        assert action_names(scheduler.finished("running", 2.0)) == [("Start", "high")]

    def test_flood_of_a_higher_tier_delays_a_paused_stream_by_its_longest_wait(self) -> None:
        scheduler = make_scheduler(limit=2, queue_limit=2)
        for request_id, tier in (("low", 4), ("mid0", 1), ("high", 0)):
            scheduler.submit(make_request(request_id, tier), 0.0)
        scheduler.finished("high", 0.0)
        scheduler.submit(make_request("high", 0), 0.0)
        started = "high"
        for second in range(1, 31):
            assert started != "low"
            scheduler.submit(make_request(f"mid{second}", 1, float(second)), float(second))
            ((kind, started),) = action_names(scheduler.finished(started, float(second)))
        assert (kind, started) == ("Resume", "low")

    def test_streams_above_a_reduced_limit_are_paused(self) -> None:
        limit = LatencyTrackingLimit(TARGETS, maximum=4, initial=4)
        scheduler = EndpointScheduler(limit, 1, PausePreemption([PAUSABLE]))
        for index in range(4):
            scheduler.submit(make_request(f"low{index}", 4), 0.0)
        for _ in range(20):
            scheduler.observe_latency("low0", 9.0, 0.4, 1.0)
        assert (scheduler.limit, scheduler.running()) == (2, 4)
        scheduler.submit(make_request("high", 0), 2.0)
        assert (scheduler.running(), scheduler.paused()) == (2, 3)

    def test_latencies_of_a_resumed_stream_are_ignored(self) -> None:
        limit = LatencyTrackingLimit(TARGETS, maximum=4, initial=1)
        scheduler = EndpointScheduler(limit, 2, PausePreemption([PAUSABLE]))
        scheduler.submit(make_request("low", 4), 0.0)
        scheduler.submit(make_request("high", 0), 0.0)
        scheduler.finished("high", 9.0)
        for _ in range(20):
            scheduler.observe_latency("low", 0.1, 0.01, 10.0)
        assert scheduler.limit == 1

    def test_drain_rejects_waiting_requests_and_resumes_paused_streams(self) -> None:
        scheduler = make_scheduler(limit=1, queue_limit=2)
        for request_id, tier in (("low", 4), ("high", 0), ("new", 3)):
            scheduler.submit(make_request(request_id, tier), 0.0)
        assert action_names(scheduler.drain(1.0)) == [("Reject", "new")]
        assert action_names(scheduler.submit(make_request("late", 0), 1.0)) == [("Reject", "late")]
        assert action_names(scheduler.finished("high", 2.0)) == [("Resume", "low")]


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "arrive", "finish", "observe", "cancel"]),
        st.integers(0, 11),
        st.integers(0, 3),
        st.floats(0.0, 20.0),
    ),
    max_size=80,
)


class SchedulerModel:
    """Apply events to a scheduler and check each of its actions against the invariants."""

    def __init__(self, limit: int, queue_limit: int) -> None:
        tracking = LatencyTrackingLimit(TARGETS, limit, limit)
        self.policy = PausePreemption([PAUSABLE], max_pauses=2)
        self.scheduler = EndpointScheduler(tracking, queue_limit, self.policy)
        self.known: dict[str, QueuedRequest] = {}
        self.running: set[str] = set()
        self.waiting: set[str] = set()
        self.pauses: dict[str, int] = {}

    def apply_actions(self, actions: Sequence[SchedulerAction]) -> None:
        before = len(self.running)
        for action in actions:
            if isinstance(action, Start):
                self.waiting.remove(action.req.request_id)
                self.running.add(action.req.request_id)
            elif isinstance(action, Resume):
                self.running.add(action.request_id)
            elif isinstance(action, Pause):
                assert not self.known[action.request_id].protected
                self.running.remove(action.request_id)
                self.pauses[action.request_id] += 1
                assert self.pauses[action.request_id] <= 2
            else:
                self.apply_rejection(action)
            # Streams above a reduced limit may finish, but no further ones start above it.
            assert len(self.running) <= max(before, self.scheduler.limit)
        assert len(self.running) == self.scheduler.running()
        assert len(self.waiting) == self.scheduler.waiting()

    def apply_rejection(self, action: Reject) -> None:
        self.waiting.remove(action.req.request_id)
        if action.req.protected:
            assert all(self.known[name].protected for name in self.waiting)
            streams = [
                RunningStream(self.known[name], 0.0, 0, self.pauses[name]) for name in self.running
            ]
            assert self.policy.choose_victim(action.req, streams, 0.0) is None
        del self.known[action.req.request_id]

    def apply(self, kind: str, name: str, tier: int, value: float, now: float) -> None:
        if kind == "arrive":
            if name not in self.known:
                self.known[name] = make_request(name, tier, now)
                self.waiting.add(name)
                self.pauses[name] = 0
            self.apply_actions(self.scheduler.submit(self.known[name], now))
        elif kind == "finish" and name in self.known and name not in self.waiting:
            self.running.discard(name)
            del self.known[name]
            self.apply_actions(self.scheduler.finished(name, now))
        elif kind == "observe":
            for _ in range(20):
                self.apply_actions(self.scheduler.observe_latency(name, value, value / 100, now))
        elif kind == "cancel":
            assert self.scheduler.cancel_waiting(name, now) == (name in self.waiting)
            if name in self.waiting:
                self.waiting.remove(name)
                del self.known[name]


class TestSchedulerInvariants:
    """Guards against an exceeded limit, a second start, and protected work paused or rejected.

    Requests arrive, finish and are cancelled while measured latencies change the limit.
    """

    @given(EVENTS, st.integers(1, 4), st.integers(0, 4))
    def test_every_action_is_allowed(
        self, events: list[tuple[str, int, int, float]], limit: int, queue_limit: int
    ) -> None:
        model = SchedulerModel(limit, queue_limit)
        for now, (kind, number, tier, value) in enumerate(events):
            model.apply(kind, f"r{number}", tier, value, float(now))

    @given(EVENTS, st.integers(1, 4))
    def test_all_accepted_work_ends(
        self, events: list[tuple[str, int, int, float]], limit: int
    ) -> None:
        model = SchedulerModel(limit, 4)
        for now, (kind, number, tier, value) in enumerate(events):
            model.apply(kind, f"r{number}", tier, value, float(now))
        for step in range(200):
            if model.running:
                model.apply("finish", min(model.running), 0, 0.0, 1000.0 + step)
        assert not model.known
