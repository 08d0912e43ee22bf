"""Computes the figure of each bound from the pooled results."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from bench.scenarios import ALL_FAULTS, SCENARIOS, Scenario
from bench.simulations import load_document

__all__ = ["Figure", "figures"]

OVERLOAD_LOADS = (1.5, 3.0)
LOADS = (0.7, 1.0, 1.5, 3.0)
Cases = dict[str, Any]


class Figure(NamedTuple):
    """The worst measured value and the case in which it occurred."""

    value: float
    where: str


def figures(cases: Cases, operations: dict[str, dict[str, float]]) -> dict[str, Figure]:
    """Return the worst figure for each bound key; a key without runs is left out."""
    found = {
        "unsafe_protected": _total(cases, "unsafe"),
        "protected_attainment_3x": _worst(min, _protected(cases)),
        "assessments_straggler_1x": _worst(min, _straggler(cases)),
        "goodput_overload": _worst(min, _goodput(cases)),
        "goodput_above_plain": _worst(min, _goodput_margins(cases)),
        "wasted_without_faults": _worst(max, _wasted(cases, faults=False)),
        "wasted_all_faults": _worst(max, _wasted(cases, faults=True)),
        "wasted_against_unbudgeted": _worst(max, _wasted_ratios(cases)),
        "never_ended": _total(cases, "never_ended"),
        "wait_against_bound": _worst(max, _waits(cases)),
    }
    for key, counts in operations.items():
        sizes = sorted(counts, key=int)
        growth = counts[sizes[-1]] / counts[sizes[0]]
        found[key] = Figure(growth, f"{sizes[0]} to {sizes[-1]}")
    return {key: figure for key, figure in found.items() if figure is not None}


def _product(
    cases: Cases, loads: tuple[float, ...]
) -> Iterator[tuple[Scenario, float, dict[str, Any]]]:
    for scenario in SCENARIOS:
        for load in loads:
            case = cases.get(f"{scenario.name}/{load:g}/product")
            if case is not None:
                yield scenario, load, case


def _worst(choose: Callable[..., Figure], found: Iterator[Figure]) -> Figure | None:
    return choose(found, key=lambda figure: figure.value, default=None)


def _total(cases: Cases, key: str) -> Figure | None:
    values = [
        (f"{scenario.name}/{load:g}", case[key]) for scenario, load, case in _product(cases, LOADS)
    ]
    where = ", ".join(name for name, value in values if value)
    return Figure(sum(value for _, value in values), where or "all") if values else None


def _protected(cases: Cases) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, (3.0,)):
        for name, service in case["services"].items():
            for cls in load_document(name).classes:
                if cls.protected:
                    # A refused protected request counts as out of target.
                    value = service["classes"][cls.name]["offered_attainment"]
                    yield Figure(value, f"{scenario.name}/{load:g}/{cls.name}")


def _straggler(cases: Cases) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, (1.0,)):
        if scenario.name == "straggler":
            for name, cls in case["services"]["sprachdienst"]["classes"].items():
                yield Figure(cls["attainment"], f"{scenario.name}/{load:g}/{name}")


def _goodput(cases: Cases) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, OVERLOAD_LOADS):
        for name, service in case["services"].items():
            yield Figure(service["goodput"], f"{scenario.name}/{load:g}/{name}")


def _plain(cases: Cases, scenario: Scenario, load: float) -> Iterator[tuple[str, dict[str, Any]]]:
    prefix = f"{scenario.name}/{load:g}/"
    for key, case in cases.items():
        strategy = key.removeprefix(prefix)
        if key.startswith(prefix) and strategy != "product" and "without" not in strategy:
            yield strategy, case


def _goodput_margins(cases: Cases) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, OVERLOAD_LOADS):
        for strategy, plain in _plain(cases, scenario, load):
            for name, service in case["services"].items():
                value = service["goodput"] - plain["services"][name]["goodput"]
                yield Figure(value, f"{scenario.name}/{load:g}/{name} against {strategy}")


def _wasted(cases: Cases, faults: bool) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, LOADS):
        breaks = scenario.crash or scenario.straggler != 1.0
        everything = scenario.name.startswith(ALL_FAULTS.name)
        if everything if faults else not breaks:
            for name, service in case["services"].items():
                yield Figure(service["wasted_share"], f"{scenario.name}/{load:g}/{name}")


def _wasted_ratios(cases: Cases) -> Iterator[Figure]:
    """Yield for each load the product's wasted tokens relative to retries without a budget.

    Both sums are over all scenarios.
    """
    for load in OVERLOAD_LOADS:
        own = other = 0.0
        for scenario, _, case in _product(cases, (load,)):
            plain = cases.get(f"{scenario.name}/{load:g}/unbudgeted-retry")
            if plain is not None:
                own += _wasted_tokens(case)
                other += _wasted_tokens(plain)
        if other:
            yield Figure(own / other, f"all scenarios/{load:g}")


def _wasted_tokens(case: dict[str, Any]) -> float:
    return sum(
        float(service["wasted_work"])
        for name, service in case["services"].items()
        if load_document(name).kind == "model"
    )


def _waits(cases: Cases) -> Iterator[Figure]:
    for scenario, load, case in _product(cases, LOADS):
        for service in case["services"].values():
            for name, part in service["wait_part"].items():
                yield Figure(part, f"{scenario.name}/{load:g}/{name}")
