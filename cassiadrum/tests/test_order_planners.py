"""Tests of the planner of orders to engines."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import (
    DemandOrderPlanner,
    EndpointReport,
    EngineOrder,
    ModelDemand,
    OrderKind,
)

MODEL_BYTES = 1000
BYTES_BY_MODEL = {
    ("a", ""): MODEL_BYTES,
    ("b", ""): MODEL_BYTES,
    ("c", ""): MODEL_BYTES,
    ("a", "x"): 10,
}


def make_report(instance: str, *models: str, at: float = 0.0, **fields: Any) -> EndpointReport:
    return EndpointReport(instance, "z", 0, 0, 8, at, models)._replace(**fields)


def make_planner(bytes_per_s: float = 1e9, **fields: Any) -> DemandOrderPlanner:
    return DemandOrderPlanner(BYTES_BY_MODEL, bytes_per_s, **fields)


def demand(**requests: float) -> list[ModelDemand]:
    return [ModelDemand(model, "", amount) for model, amount in requests.items()]


def plan_at(
    planner: DemandOrderPlanner,
    wanted: list[ModelDemand],
    engines: list[EndpointReport],
    *times: float,
) -> list[EngineOrder]:
    """Plan at each of the times and return all orders."""
    return [
        order
        for now in times
        for order in planner.plan(wanted, [rep._replace(reported_s=now) for rep in engines], now)
    ]


class TestDemandOrderPlanner:
    """Guards against loads of weights that are needless, exceed the byte budget or do harm.

    A short burst or an outdated report asks for a load that is not needed, and a load can replace
    the last copy of a model in demand or take too many engines out of service.
    """

    def test_burst_shorter_than_the_hold_time_loads_nothing(self) -> None:
        planner = make_planner()
        engines = [make_report("e1", "a"), make_report("e2")]
        assert plan_at(planner, demand(a=20), engines, 0, 9) == []
        assert plan_at(planner, demand(a=1), engines, 9.5) == []
        assert plan_at(planner, demand(a=20), engines, 10, 19) == []
        (order,) = plan_at(planner, demand(a=20), engines, 20)
        assert order == EngineOrder(OrderKind.LOAD_MODEL, "e2", "a", load_bytes=MODEL_BYTES)

    def test_use_between_the_thresholds_loads_nothing(self) -> None:
        planner = make_planner()
        engines = [make_report("e1", "a"), make_report("e2", "a"), make_report("e3", "b")]
        # The use of two copies is 0.5: too high for one copy, too low for three.
        assert plan_at(planner, demand(a=8, b=5), engines, *range(0, 200, 10)) == []

    def test_spare_copy_is_replaced(self) -> None:
        planner = make_planner()
        engines = [make_report("e1", "a"), make_report("e2", "a"), make_report("e3", "b")]
        (order,) = plan_at(planner, demand(a=1, b=20), engines, 0, 10)
        assert (order.instance, order.model, order.replaces) == ("e1", "b", "a")

    def test_last_copy_in_demand_is_kept(self) -> None:
        planner = make_planner()
        engines = [make_report("e1", "a"), make_report("e2", "a", leaving=True)]
        assert plan_at(planner, demand(a=0.1, b=50), engines, *range(0, 500, 10)) == []

    def test_model_without_a_copy_replaces_one_of_several_copies(self) -> None:
        engines = [make_report("e1", "a"), make_report("e2", "a"), make_report("e3", "b")]
        wanted = demand(a=50, b=50, c=1)
        (order,) = plan_at(make_planner(), wanted, engines, *range(0, 500, 10))
        assert (order.model, order.replaces) == ("c", "a")

    def test_late_report_does_not_restore_a_replaced_copy(self) -> None:
        planner = make_planner()
        engines = [make_report(f"e{n}", "a") for n in range(2)]
        wanted = demand(a=1, b=50)
        (order,) = plan_at(planner, wanted, engines, 0, 10)
        planner.order_answered(order.instance, 11.0)
        for now in (12, 100, 1000):
            assert planner.plan(wanted, engines, now) == []

    def test_adapter_is_loaded_where_its_model_is(self) -> None:
        planner = make_planner()
        engines = [make_report("e1", "b"), make_report("e2", "a")]
        wanted = [*demand(a=2, b=2), ModelDemand("a", "x", 1.0)]
        (order,) = plan_at(planner, wanted, engines, 0, 10)
        assert order == EngineOrder(OrderKind.LOAD_ADAPTER, "e2", "a", "x", load_bytes=10)

    def test_byte_budget_limits_the_rate_of_loads(self) -> None:
        planner = make_planner(bytes_per_s=MODEL_BYTES / 50)
        engines = [make_report(f"e{n}") for n in range(8)]
        wanted = demand(a=20, b=20, c=20)
        assert len(plan_at(planner, wanted, engines, 0, 10, 20, 59)) == 1
        assert len(plan_at(planner, wanted, engines, 60, 109)) == 1

    def test_engine_that_never_answers_gets_no_second_order(self) -> None:
        planner = make_planner()
        engines = [make_report("e1"), make_report("e2")]
        orders = plan_at(planner, demand(a=50), engines, *range(0, 3000, 10))
        assert [order.instance for order in orders] == ["e1", "e2"]

    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.sampled_from("abc"), st.floats(0, 60)),
                st.booleans(),
                st.integers(1, 30),
            ),
            max_size=40,
        ),
        st.lists(st.sampled_from(["", "a", "b", "c"]), min_size=1, max_size=9),
    )
    def test_orders_keep_the_bounds(
        self, steps: list[tuple[dict[str, float], bool, int]], loaded: list[str]
    ) -> None:
        rate = MODEL_BYTES / 20
        planner = make_planner(rate)
        engines = {f"e{n}": model for n, model in enumerate(loaded)}
        unanswered: dict[str, EngineOrder] = {}
        now, spent = 0.0, 0
        for wanted, answers, pause_s in steps:
            now += pause_s
            if answers:
                for instance, order in unanswered.items():
                    engines[instance] = order.model
                    planner.order_answered(instance, now)
                unanswered.clear()
                now += 1
            reports = [
                make_report(name, *([model] if model else []), at=now)
                for name, model in engines.items()
            ]
            orders = planner.plan(demand(**wanted), reports, now)
            for order in orders:
                assert order.instance not in unanswered
                unanswered[order.instance] = order
                spent += order.load_bytes
                assert len(unanswered) <= max(1, len(engines) // 4)
                assert spent <= rate * now + MODEL_BYTES
            kept = {model for name, model in engines.items() if name not in unanswered}
            for order in orders:
                assert (
                    not order.replaces or not wanted.get(order.replaces) or order.replaces in kept
                )
