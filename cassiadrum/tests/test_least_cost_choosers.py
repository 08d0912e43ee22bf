"""Tests of the choice of an endpoint by its estimated cost."""

from random import Random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import EndpointReport, HealthState, LeastCostChooser, QueuedRequest

LIMIT = 8


def make_request(request_id: str = "r", **fields: Any) -> QueuedRequest:
    return QueuedRequest(request_id, "svc", "cls", 2, False, "customer", 0.0)._replace(**fields)


def make_report(instance: str, reported_s: float = 0.0, **fields: Any) -> EndpointReport:
    return EndpointReport(instance, "z", 0, 0, LIMIT, reported_s)._replace(**fields)


def make_chooser(endpoints: int, **fields: Any) -> LeastCostChooser:
    chooser = LeastCostChooser(Random(1), "z")
    for index in range(endpoints):
        chooser.report(make_report(f"e{index}", **fields), 0.0)
    return chooser


def report_all(chooser: LeastCostChooser, endpoints: int, now: float, **fields: Any) -> None:
    for index in range(endpoints):
        chooser.report(make_report(f"e{index}", now, **fields), now)


def run_stream(
    chooser: LeastCostChooser, instance: str, start_s: float, gap_s: float, tokens: int = 20
) -> None:
    """Start a stream that yields a token every `gap_s` seconds and does not end."""
    request_id = f"{instance}-{start_s}"
    chooser.dispatched(instance, make_request(request_id), start_s)
    for number in range(1, tokens + 1):
        chooser.progressed(instance, request_id, 1, start_s + number * gap_s)


class TestOutstanding:
    """Guards against load that is counted twice, lost, or taken from an outdated report.

    A report covers the dispatches made before it. Reports arrive late, repeated and out of order,
    and dispatches and ends happen while a report is in transit.
    """

    def test_own_events_since_the_report_are_added(self) -> None:
        chooser = make_chooser(1, running=3)
        for number in range(2):
            chooser.dispatched("e0", make_request(f"r{number}"), 1.0)
        assert chooser.outstanding("e0") == 5
        # Made after the first two dispatches, received after the third.
        chooser.dispatched("e0", make_request("r2"), 2.0)
        chooser.report(make_report("e0", 1.5, running=5), 2.1)
        assert chooser.outstanding("e0") == 6
        chooser.finished("e0", "r0", True, 2.2)
        assert (chooser.outstanding("e0"), chooser.free_slots()) == (5, LIMIT - 5)

    def test_late_report_does_not_restore_a_removed_endpoint(self) -> None:
        chooser = make_chooser(1)
        chooser.report(make_report("e0", 2.0, leaving=True), 2.0)
        chooser.remove("e0")
        chooser.report(make_report("e0", 1.0), 2.1)
        assert chooser.choose(make_request(), 2.2) is None
        chooser.report(make_report("e0", 3.0), 3.0)
        assert chooser.choose(make_request(), 3.0) == "e0"

    @given(
        st.lists(st.tuples(st.floats(0, 10), st.integers(0, LIMIT), st.booleans()), min_size=1),
        st.integers(0, 100),
    )
    def test_old_or_duplicate_report_changes_nothing(
        self, reports: list[tuple[float, int, bool]], seed: int
    ) -> None:
        sent = [make_report("e0", at, running=n, leaving=leaves) for at, n, leaves in reports]
        newest = max(sent, key=lambda rep: rep.reported_s)
        sent = [rep for rep in sent if rep.reported_s < newest.reported_s] + [newest]
        chooser = LeastCostChooser(Random(1), "z")
        chooser.report(newest, 10.0)
        chooser.dispatched("e0", make_request(), 10.0)
        before = (
            chooser.outstanding("e0"),
            chooser.free_slots(),
            list(chooser.available_instances()),
        )
        Random(seed).shuffle(sent)
        for rep in sent:
            chooser.report(rep, 10.5)
        after = (
            chooser.outstanding("e0"),
            chooser.free_slots(),
            list(chooser.available_instances()),
        )
        assert after == before


class TestChoice:
    """Guards against work for an endpoint that cannot serve it or is a poor choice.

    It lacks the model or the adapter, is full, has just started, is in another zone, or lacks the
    cached prefix; or the choice costs too much among many endpoints.
    """

    def test_only_endpoints_with_the_model_and_the_adapter(self) -> None:
        chooser = LeastCostChooser(Random(1), "z")
        chooser.report(make_report("a", models=("m",)), 0.0)
        chooser.report(make_report("b", models=("m",), adapters=("x",), running=6), 0.0)
        chooser.report(make_report("c", models=("other",), adapters=("x",)), 0.0)
        assert chooser.choose(make_request(model="m", adapter="x"), 0.0) == "b"
        assert chooser.choose(make_request(model="absent"), 0.0) is None
        chooser.report(make_report("b", 1.0, models=("m",)), 1.0)
        assert chooser.choose(make_request(model="m", adapter="x"), 1.0) is None

    def test_cached_prefix_outweighs_a_little_load_but_not_a_full_endpoint(self) -> None:
        req = make_request(prompt_tokens=2000, prefix_keys=(1, 2, 3, 4))
        chooser = make_chooser(64)
        chooser.observe_cached_prefixes("e7", [1, 2, 3, 4], 0.0)
        chooser.report(make_report("e7", 1.0, running=2), 1.0)
        assert chooser.choose(req, 1.0) == "e7"
        chooser.report(make_report("e7", 2.0, running=7), 2.0)
        assert chooser.choose(req, 2.0) != "e7"

    def test_own_dispatch_counts_as_cached_for_a_longer_prompt(self) -> None:
        req = make_request(prompt_tokens=4000, prefix_keys=(1, 2, 3, 4))
        chooser = make_chooser(64)
        chooser.dispatched("e9", req._replace(prefix_keys=(1, 2, 3)), 0.0)
        assert chooser.choose(req, 0.1) == "e9"

    def test_own_zone_and_exclusion(self) -> None:
        chooser = make_chooser(3, zone="far")
        chooser.report(make_report("near"), 0.0)
        assert chooser.choose(make_request(), 0.0) == "near"
        excluded = ["near", "e0", "e1"]
        assert chooser.choose(make_request(), 0.0, excluded) == "e2"

    def test_free_slot_is_found_among_many_full_endpoints(self) -> None:
        chooser = make_chooser(64, running=LIMIT)
        chooser.report(make_report("e40", 1.0, running=LIMIT - 1), 1.0)
        assert chooser.free_slots() == 1
        assert chooser.choose(make_request(), 1.0) == "e40"
        chooser.dispatched("e40", make_request(), 1.0)
        assert (chooser.choose(make_request(), 1.0), chooser.free_slots()) == (None, 0)

    def test_protected_request_may_queue_at_a_full_endpoint(self) -> None:
        chooser = make_chooser(2, running=LIMIT)
        chooser.report(make_report("e1", 1.0, running=LIMIT, queued=LIMIT), 1.0)
        assert chooser.choose(make_request(), 1.0) is None
        assert chooser.choose(make_request(protected=True), 1.0) == "e0"

    def test_new_endpoint_starts_slowly(self) -> None:
        chooser = make_chooser(2)
        report_all(chooser, 2, 60.0)
        chooser.report(make_report("new", 60.0), 60.0)
        assert chooser.free_slots() == 2 * LIMIT + 1
        chooser.report(make_report("new", 65.0), 65.0)
        assert chooser.free_slots() == 2 * LIMIT + LIMIT // 2
        chooser.report(make_report("new", 70.0), 70.0)
        assert chooser.free_slots() == 3 * LIMIT

    def test_operations_grow_no_faster_than_the_logarithm(self) -> None:
        operations_per_choice = []
        for endpoints in (8, 64, 512):
            chooser = make_chooser(endpoints)
            for index in range(endpoints):
                chooser.observe_cached_prefixes(f"e{index}", [1, 2], 0.0)
            before = chooser.operations
            for _ in range(100):
                chooser.choose(make_request(prompt_tokens=100, prefix_keys=(1, 2, 3)), 0.0)
            operations_per_choice.append((chooser.operations - before) / 100)
        # log2 of the endpoints is 3, 6 and 9, so the operations may double and triple.
        assert operations_per_choice[1] <= 2 * operations_per_choice[0]
        assert operations_per_choice[2] <= 3 * operations_per_choice[0]


class TestEjection:
    """Guards against work for a straggler, and against ejection of a merely busy endpoint.

    Slow or missing tokens and failed attempts eject an endpoint. A larger batch, a paused stream
    and a long call of a plain service look alike but are normal, and ejecting too many endpoints
    overloads the others.
    """

    def test_straggler_is_ejected_then_returns_over_probation(self) -> None:
        chooser = make_chooser(6)
        for index in range(6):
            run_stream(chooser, f"e{index}", 0.0, 0.2 if index == 3 else 0.02)
        report_all(chooser, 6, 4.6, tokens_per_s=50.0)
        assert chooser.health()["e3"] is HealthState.EJECTED
        assert chooser.health()["e0"] is HealthState.HEALTHY
        assert "e3" not in {chooser.choose(make_request(), 4.6) for _ in range(50)}
        report_all(chooser, 6, 10.0, tokens_per_s=50.0)
        assert chooser.health()["e3"] is HealthState.PROBATION
        for index in range(6):
            chooser.finished(f"e{index}", f"e{index}-0.0", True, 10.0)
        run_stream(chooser, "e3", 10.1, 0.02)
        assert chooser.choose(make_request(), 10.5, [f"e{n}" for n in range(6) if n != 3]) is None
        report_all(chooser, 6, 11.0, tokens_per_s=50.0)
        assert chooser.health()["e3"] is HealthState.HEALTHY

    def test_busy_endpoint_with_a_larger_batch_is_not_ejected(self) -> None:
        chooser = make_chooser(6, limit=64)
        chooser.report(make_report("e3", 0.1, running=40, limit=64), 0.1)
        for index in range(6):
            run_stream(chooser, f"e{index}", 0.2, 0.09 if index == 3 else 0.02)
        for now in (3.0, 3.6, 4.2):
            chooser.report(make_report("e3", now, running=40, limit=64, tokens_per_s=400.0), now)
        assert chooser.health()["e3"] is HealthState.HEALTHY

    def test_stream_without_progress_ejects_unless_the_engine_reports_output(self) -> None:
        # While the engine reports output, the stream may be paused for 30 s, the default
        # longest wait.
        cases = ((0.0, 4.0, HealthState.EJECTED), (99.0, 31.0, HealthState.HEALTHY))
        for tokens_per_s, until_s, health in cases:
            chooser = make_chooser(6)
            run_stream(chooser, "e2", 0.0, 0.02)
            for now in (until_s, until_s + 0.6):
                report_all(chooser, 6, now, tokens_per_s=tokens_per_s)
            assert chooser.health()["e2"] is health

    def test_long_calls_of_a_plain_service_are_not_stalls(self) -> None:
        chooser = LeastCostChooser(Random(1), "z", streams_tokens=False)
        report_all(chooser, 6, 0.0)
        chooser.dispatched("e0", make_request("call"), 0.0)
        for now in (28.0, 28.6, 29.2):
            report_all(chooser, 6, now)
        assert chooser.health()["e0"] is HealthState.HEALTHY

    def test_only_endpoint_with_a_model_is_not_ejected(self) -> None:
        chooser = make_chooser(6, models=("m",))
        chooser.report(make_report("e3", 0.1, models=("rare",)), 0.1)
        for index in range(6):
            run_stream(chooser, f"e{index}", 0.2, 0.2 if index == 3 else 0.02)
        assert chooser.choose(make_request(model="rare"), 5.0) == "e3"

    def test_ejection_bound_holds_when_an_ejected_endpoint_leaves_and_returns(self) -> None:
        chooser = make_chooser(9)
        for index in range(3):
            run_stream(chooser, f"e{index}", 0.0, 0.2)
        for index in range(3, 9):
            run_stream(chooser, f"e{index}", 0.0, 0.02)
        for now in (4.6, 5.2):
            report_all(chooser, 9, now, tokens_per_s=50.0)
        assert list(chooser.health().values()).count(HealthState.EJECTED) == 3
        chooser.report(make_report("e0", 5.3, leaving=True), 5.3)
        chooser.remove("e8")
        chooser.report(make_report("e0", 5.4), 5.4)
        assert list(chooser.health().values()).count(HealthState.EJECTED) == 2

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["fail", "fail", "slow", "report", "remove", "leave", "stall"]),
                st.integers(0, 8),
            ),
            max_size=120,
        )
    )
    def test_at_most_a_third_is_ejected_and_leaving_endpoints_get_no_work(
        self, events: list[tuple[str, int]]
    ) -> None:
        chooser = make_chooser(9)
        leaving: set[str] = set()
        now = 1.0
        for step, (kind, number) in enumerate(events):
            now += 0.3
            instance = f"e{number}"
            if kind == "fail":
                for attempt in range(3):
                    chooser.dispatched(instance, make_request(f"{step}-{attempt}"), now)
                    chooser.finished(instance, f"{step}-{attempt}", False, now)
            elif kind in ("slow", "stall"):
                gap_s = 0.5 if kind == "slow" else 0.01
                run_stream(chooser, instance, now, gap_s, tokens=7)
                now += 7 * gap_s
            elif kind == "remove":
                chooser.remove(instance)
                leaving.discard(instance)
            else:
                chooser.report(make_report(instance, now, leaving=kind == "leave"), now)
                leaving.discard(instance) if kind == "report" else leaving.add(instance)
            health = {
                name: state for name, state in chooser.health().items() if name not in leaving
            }
            ejected = [name for name, state in health.items() if state is HealthState.EJECTED]
            assert len(ejected) <= len(health) // 3
            for protected in (False, True):
                chosen = chooser.choose(make_request(protected=protected), now)
                assert chosen not in leaving
                assert chosen not in ejected
            if chooser.choose(make_request(), now) is None:
                assert chooser.free_slots() == 0
