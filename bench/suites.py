"""Benchmark suites and their execution in parallel processes."""

import os
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from bench.ablations import ABLATED_CASES, ablations
from bench.measures import measure
from bench.plain_strategies import plain_strategies
from bench.products import product
from bench.run_specs import RunSpec
from bench.scenarios import SCENARIOS
from bench.simulations import Simulation
from bench.strategies import Strategy

__all__ = ["SEEDS", "ablation_suite", "full_suite", "run_all", "run_one"]

LOADS = (0.7, 1.0, 1.5, 3.0)
# Plain strategies are compared at overload, in the scenarios in which they differ; the other
# scenarios would double the duration of the suite.
COMPARED_LOADS = (1.5, 3.0)
COMPARED_SCENARIOS = ("feast-day-burst", "fire-season-burst", "all-together")
SEEDS = (1, 2, 3, 4, 5)


def strategies() -> dict[str, Strategy]:
    """Return every strategy by name."""
    return {"product": product(), **plain_strategies(), **ablations()}


def run_one(spec: RunSpec) -> dict[str, Any]:
    """Execute one run and return its measures."""
    scenario = next(item for item in SCENARIOS if item.name == spec.scenario)
    simulation = Simulation(spec, scenario, strategies()[spec.strategy])
    simulation.run()
    return measure(simulation)


def full_suite(seeds: Iterable[int] = SEEDS, only: str = "") -> list[RunSpec]:
    """Return the runs of the product at all loads and of the plain strategies for comparison."""
    return [
        RunSpec(scenario.name, load, name, seed)
        for scenario in SCENARIOS
        if only in scenario.name
        for load in LOADS
        for name in ("product", *plain_strategies())
        if name == "product" or (load in COMPARED_LOADS and scenario.name in COMPARED_SCENARIOS)
        for seed in seeds
    ]


def ablation_suite(seeds: Iterable[int] = SEEDS, only: str = "") -> list[RunSpec]:
    """Return the runs of the product with and without each mechanism."""
    return [
        RunSpec(scenario, load, name, seed)
        for name in ("product", *ablations())
        if name == "product" or only in name
        for scenario, load in ABLATED_CASES
        for seed in seeds
    ]


def run_all(specs: list[RunSpec]) -> Iterator[tuple[RunSpec, dict[str, Any]]]:
    """Yield each run with its measures, in the order of `specs`."""
    # Runs with the highest load take longest; starting them first keeps all processes busy.
    order = sorted(range(len(specs)), key=lambda index: -specs[index].load)
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        futures = {index: pool.submit(run_one, specs[index]) for index in order}
        for index, spec in enumerate(specs):
            yield spec, futures[index].result()
