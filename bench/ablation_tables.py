"""Effect of each mechanism on the measures, compared with the spread between seeds."""

from statistics import mean, stdev
from typing import Any, NamedTuple

from bench.run_specs import RunSpec

__all__ = ["Effect", "effects", "print_effects"]

Runs = list[tuple[RunSpec, dict[str, Any]]]
# Measures listed for each mechanism, the largest changes relative to the spread first.
MAX_LISTED_MEASURES = 6


class Effect(NamedTuple):
    """Mean of one measure with and without a mechanism.

    `spread` is the larger of the two standard deviations between seeds.
    """

    mechanism: str
    case: str
    measure: str
    with_mechanism: float
    without_mechanism: float
    spread: float

    @property
    def is_significant(self) -> bool:
        """Whether the difference exceeds the spread between seeds."""
        return abs(self.without_mechanism - self.with_mechanism) > max(self.spread, 1e-9)


def effects(runs: Runs) -> list[Effect]:
    """Return every measure of each ablation with the product's on the same arrivals."""
    values: dict[tuple[str, str], dict[str, list[float]]] = {}
    for spec, measures in runs:
        cases = values.setdefault((f"{spec.scenario}/{spec.load:g}", spec.strategy), {})
        for name, value in _measures(measures).items():
            cases.setdefault(name, []).append(value)
    found = []
    for (case, strategy), without in values.items():
        if strategy == "product":
            continue
        product = values[case, "product"]
        for name, seeds in without.items():
            spread = max(stdev(seeds), stdev(product[name]))
            mechanism = strategy.removeprefix("without-")
            found.append(Effect(mechanism, case, name, mean(product[name]), mean(seeds), spread))
    return found


def print_effects(found: list[Effect]) -> None:
    """Print the measures that each mechanism changes most, and mechanisms that change none."""
    for mechanism in dict.fromkeys(effect.mechanism for effect in found):
        moved = [
            effect for effect in found if effect.mechanism == mechanism and effect.is_significant
        ]
        moved.sort(
            key=lambda effect: (
                abs(effect.without_mechanism - effect.with_mechanism) / (effect.spread + 1e-3)
            )
        )
        print(f"{mechanism}: changes {len(moved)} measures by more than the spread")
        for effect in moved[: -MAX_LISTED_MEASURES - 1 : -1]:
            print(
                f"  {effect.case} {effect.measure}: with {effect.with_mechanism:.4f}, "
                f"without {effect.without_mechanism:.4f}, spread {effect.spread:.4f}"
            )


def _measures(measures: dict[str, Any]) -> dict[str, float]:
    found: dict[str, float] = {
        "unsafe": measures["unsafe"],
        "never ended": measures["never_ended"],
        "pauses": measures["pauses"],
    }
    for name, service in measures["services"].items():
        found[f"{name} goodput"] = service["goodput"]
        found[f"{name} wasted share"] = sum(service["wasted"].values()) / service["produced"]
        found[f"{name} refusals"] = sum(service["refusals"].values())
        for class_name, cls in service["classes"].items():
            found[f"{class_name} attainment"] = cls["met"] / max(1, cls["served"])
            found[f"{class_name} offered attainment"] = cls["met"] / max(1, cls["offered"])
            found[f"{class_name} longest wait s"] = cls["longest_wait_s"]
    return found
