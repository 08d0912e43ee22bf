"""Tests of the benchmark harness."""

from pathlib import Path

import pytest

from bench import __main__ as command
from bench.bounds import check_bounds, read_bounds, read_known_failures
from bench.figures import Figure, figures
from bench.products import product
from bench.results import pool_cases, rounded
from bench.run_specs import RunSpec
from bench.scenarios import SCENARIOS
from bench.simulations import Simulation
from bench.strategies import Strategy
from bench.suites import run_one
from cassiadrum.decisions import (
    Action,
    Dispatcher,
    ExecutionStatus,
    LeastOutstandingChooser,
    QueuedRequest,
    Refuse,
    StrictTierQueue,
)
from cassiadrum.documents import ServiceDocument

SHORT = RunSpec("feast-day-burst", 1.5, "product", 1, duration_s=1.0)


class SheddingDispatcher(Dispatcher):
    """A faulty dispatcher that refuses every protected request."""

    def submit(self, req: QueuedRequest, now: float) -> list[Action]:
        if req.protected:
            return [Refuse(req, "overloaded", ExecutionStatus.NOT_EXECUTED, 1.0)]
        return super().submit(req, now)


class DroppingDispatcher(Dispatcher):
    """A faulty dispatcher that neither queues nor refuses protected requests."""

    def submit(self, req: QueuedRequest, now: float) -> list[Action]:
        return [] if req.protected else super().submit(req, now)


def run_with_dispatcher(dispatcher: type[Dispatcher]) -> Simulation:
    def make(document: ServiceDocument, entries: int, seed: str) -> Dispatcher:
        return dispatcher(StrictTierQueue(100), LeastOutstandingChooser())

    scenario = next(one for one in SCENARIOS if one.name == SHORT.scenario)
    strategy = Strategy("broken", make, product().make_scheduler)
    simulation = Simulation(SHORT, scenario, strategy)
    simulation.run()
    return simulation


class TestRuns:
    """Guards against results that vary with the same seed and checks that miss a fault.

    Dispatchers that refuse or drop all protected requests have to show in the records.
    """

    def test_same_seed_gives_the_same_result(self) -> None:
        first, second = run_one(SHORT), run_one(SHORT)
        assert first == second
        assert run_one(SHORT._replace(seed=2)) != first

    def test_shed_protected_request_is_detected(self) -> None:
        records = run_with_dispatcher(SheddingDispatcher).records
        protected = sum(call.req.protected for call in records.calls)
        assert protected > 0
        assert records.unsafe["refused: overloaded"] > 0

    def test_dropped_protected_request_is_detected(self) -> None:
        records = run_with_dispatcher(DroppingDispatcher).records
        protected = sum(call.req.protected for call in records.calls)
        assert records.open_calls == protected > 0


class TestBounds:
    """Guards against a missed bound that does not fail the benchmark.

    A bound without a figure would never be compared; only listed known failures may pass.
    """

    def test_every_bound_has_a_figure_and_a_source(self) -> None:
        specs = [
            RunSpec(scenario, load, strategy, 1, duration_s=0.2)
            for scenario, load, strategy in (
                ("straggler", 1.0, "product"),
                ("all-together", 3.0, "product"),
                ("all-together", 3.0, "unbudgeted-retry"),
                ("feast-day-burst", 3.0, "product"),
            )
        ]
        cases = rounded(pool_cases([(spec, run_one(spec)) for spec in specs]))
        operations = {
            f"operations_by_{name}": {"8": 1.0, "512": 2.0} for name in ("subset", "queue")
        }
        bounds = read_bounds()
        assert set(figures(cases, operations)) == set(bounds)
        assert all(bound["source"] for bound in bounds.values())

    @pytest.mark.parametrize(
        ("value", "listed", "code"),
        [
            (0.0, "", 0),
            (1.0, "", 1),
            (1.0, "unsafe_protected: x", 0),
            # Prose and entries of tests name no bound.
            (1.0, "test: a.py::test_a\n  seen\nunsafe_protected is fine", 1),
            (1.0, "  unsafe_protected: x", 1),
        ],
    )
    def test_missed_bound_gives_a_non_zero_exit(
        self, value: float, listed: str, code: int, tmp_path: Path
    ) -> None:
        path = tmp_path / "KNOWN-RED.txt"
        path.write_text(listed)
        found = {"unsafe_protected": Figure(value, "all")}
        verdicts = check_bounds(found, read_bounds(), read_known_failures(path))
        assert command.exit_code(verdicts) == code
