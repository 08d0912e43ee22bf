"""Printing of results and bounds, and the committed results file."""

import json
from pathlib import Path
from typing import Any

from bench.bounds import Verdict
from bench.tables import attainment_table, goodput_table, waste_table

__all__ = ["RESULTS_PATH", "print_changes", "print_tables", "print_verdicts", "write_results"]

RESULTS_PATH = Path(__file__).with_name("results.json")
# Further changes are only counted.
MAX_LISTED_CHANGES = 40


def print_verdicts(verdicts: list[Verdict]) -> None:
    """Print each figure with its bound and verdict."""
    for verdict in verdicts:
        state = "ok" if verdict.is_met else "KNOWN RED" if verdict.is_known_failure else "MISSED"
        value = f"{verdict.figure.value:.4f}"
        print(f"{state:9} {verdict.key:28} {value:>10} {verdict.bound:>9}  {verdict.figure.where}")
        if not verdict.is_met:
            print(f"{'':9} {verdict.source}")


def print_changes(results: dict[str, Any], path: Path = RESULTS_PATH) -> None:
    """Print the figures that differ from the committed file."""
    if not path.exists():
        print(f"no committed results in {path.name}")
        return
    before, after = _flat(json.loads(path.read_text())), _flat(results)
    changed = [key for key in sorted(before | after) if before.get(key) != after.get(key)]
    print(f"{len(changed)} figures differ from {path.name}")
    for key in changed[:MAX_LISTED_CHANGES]:
        print(f"  {key}: {before.get(key)} -> {after.get(key)}")


def print_tables(path: Path = RESULTS_PATH) -> None:
    """Print the committed results as Markdown tables."""
    cases = json.loads(path.read_text())["cases"]
    for title, table in (
        ("Goodput", goodput_table),
        ("Attainment", attainment_table),
        ("Waste and refusals", waste_table),
    ):
        print(f"### {title}\n\n{table(cases)}\n")


def write_results(results: dict[str, Any], path: Path = RESULTS_PATH) -> None:
    """Write the results as JSON with sorted keys."""
    path.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


def _flat(value: Any, prefix: str = "") -> dict[str, Any]:
    if not isinstance(value, dict):
        return {prefix: value}
    flat = {}
    for key, item in value.items():
        flat.update(_flat(item, f"{prefix}/{key}" if prefix else str(key)))
    return flat
