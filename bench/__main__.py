"""Run the simulation benchmarks and check the regression bounds."""

import argparse
import json
import sys
import time
from collections.abc import Sequence
from typing import Any

from bench.ablation_tables import effects, print_effects
from bench.bounds import Verdict, check_bounds, read_bounds, read_known_failures
from bench.figures import figures
from bench.operation_counts import count_by_queue_length, count_by_subset_size
from bench.reports import print_changes, print_tables, print_verdicts, write_results
from bench.results import pool_cases, rounded
from bench.suites import SEEDS, ablation_suite, full_suite, run_all

__all__ = ["exit_code", "main"]


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the selected benchmarks; return 1 if a bound is missed that is not a known failure."""
    options = _options(arguments)
    started_s = time.monotonic()
    if options.tables:
        print_tables()
        return 0
    if options.ablate:
        print_effects(effects(list(run_all(ablation_suite(only=options.only)))))
        return 0
    seeds = SEEDS[:1] if options.quick else SEEDS
    runs = list(run_all(full_suite(seeds, options.only)))
    operations = {}
    if not options.only or options.only == "operations":
        operations = {
            "operations_by_subset": count_by_subset_size(),
            "operations_by_queue": count_by_queue_length(),
        }
    results = rounded({"cases": pool_cases(runs), "operations": operations})
    verdicts = check_bounds(
        figures(results["cases"], results["operations"]), read_bounds(), read_known_failures()
    )
    if options.json:
        print(json.dumps({**results, "bounds": _bounds(verdicts)}, sort_keys=True))
    else:
        print_verdicts(verdicts)
        if not options.quick and not options.only:
            print_changes(results)
            if options.write:
                write_results(results)
        print(f"{len(runs)} runs in {time.monotonic() - started_s:.0f} s")
    return exit_code(verdicts)


def exit_code(verdicts: list[Verdict]) -> int:
    """Return 1 when a bound is missed that is not in the list of known failures."""
    return int(any(not verdict.is_met and not verdict.is_known_failure for verdict in verdicts))


def _bounds(verdicts: list[Verdict]) -> dict[str, Any]:
    return {
        verdict.key: {**verdict.figure._asdict(), "bound": verdict.bound, "kept": verdict.is_met}
        for verdict in verdicts
    }


def _options(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="run only the first seed")
    parser.add_argument(
        "--only", default="", metavar="NAME", help="run only scenarios whose name contains NAME"
    )
    parser.add_argument(
        "--ablate", action="store_true", help="run the product without one mechanism at a time"
    )
    parser.add_argument(
        "--tables", action="store_true", help="print the committed results as tables"
    )
    parser.add_argument("--json", action="store_true", help="print the results as JSON")
    parser.add_argument("--write", action="store_true", help="replace bench/results.json")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
