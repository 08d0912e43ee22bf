"""Results of all runs, pooled over seeds."""

from statistics import mean, stdev
from typing import Any

from bench.run_specs import RunSpec

__all__ = ["Case", "pool_cases", "rounded"]

# Measures of the runs of one scenario, load and strategy, by seed.
Case = dict[int, dict[str, Any]]


def pool_cases(runs: list[tuple[RunSpec, dict[str, Any]]]) -> dict[str, Any]:
    """Return the figures of each case: means or totals over seeds, and standard deviations."""
    cases: dict[str, Case] = {}
    for spec, measures in runs:
        cases.setdefault(spec.case, {})[spec.seed] = measures
    return {name: _pool(case) for name, case in sorted(cases.items())}


def rounded(value: Any) -> Any:
    """Return the value with floats rounded to 4 digits and keys as strings, for stable diffs."""
    if isinstance(value, dict):
        return {str(key): rounded(item) for key, item in value.items()}
    if isinstance(value, list):
        return [rounded(item) for item in value]
    return round(value, 4) if isinstance(value, float) else value


def _pool(case: Case) -> dict[str, Any]:
    runs = [case[seed] for seed in sorted(case)]
    names = sorted(runs[0]["services"])
    return {
        "seeds": sorted(case),
        "unsafe": sum(run["unsafe"] for run in runs),
        "unsafe_reasons": _total([run["unsafe_reasons"] for run in runs]),
        "never_ended": sum(run["never_ended"] for run in runs),
        "pauses": sum(run["pauses"] for run in runs),
        "services": {
            name: _pool_service([run["services"][name] for run in runs]) for name in names
        },
    }


def _pool_service(runs: list[dict[str, Any]]) -> dict[str, Any]:
    goodputs = [run["goodput"] for run in runs]
    shares = [wasted_share(run) for run in runs]
    return {
        "goodput": mean(goodputs),
        "goodput_spread": _spread(goodputs),
        "goodput_by_seed": goodputs,
        "wasted_share": mean(shares),
        "wasted_share_spread": _spread(shares),
        "wasted_work": mean(sum(run["wasted"].values()) for run in runs),
        "wasted_by_reason": _total([run["wasted"] for run in runs]),
        "refusals": _total([run["refusals"] for run in runs]),
        "classes": {
            name: _pool_class([run["classes"][name] for run in runs])
            for name in sorted(runs[0]["classes"])
        },
        "wait_part": {
            name: max(run["wait_part"][name] for run in runs)
            for name in sorted(runs[0]["wait_part"])
        },
    }


def wasted_share(run: dict[str, Any]) -> float:
    """Return the wasted fraction of the work that a service's endpoints produced."""
    return float(sum(run["wasted"].values()) / run["produced"]) if run["produced"] else 0.0


def _pool_class(runs: list[dict[str, Any]]) -> dict[str, Any]:
    served = sum(run["served"] for run in runs)
    offered = sum(run["offered"] for run in runs)
    met = sum(run["met"] for run in runs)
    by_seed = [run["met"] / run["served"] if run["served"] else 1.0 for run in runs]
    by_seed_offered = [run["met"] / run["offered"] if run["offered"] else 1.0 for run in runs]
    return {
        "served": served,
        "offered": offered,
        "attainment": met / served if served else 1.0,
        "attainment_spread": _spread(by_seed),
        "offered_attainment": met / offered if offered else 1.0,
        "offered_attainment_spread": _spread(by_seed_offered),
        "longest_wait_s": max(run["longest_wait_s"] for run in runs),
    }


def _spread(values: list[float]) -> float:
    """Return the standard deviation between seeds, 0 for a single seed."""
    return stdev(values) if len(values) > 1 else 0.0


def _total(counts: list[dict[str, float]]) -> dict[str, float]:
    names = sorted({name for count in counts for name in count})
    return {name: sum(count.get(name, 0) for count in counts) for name in names}
