"""Regression bounds of the benchmark and the list of known failures."""

import re
import tomllib
from pathlib import Path
from typing import NamedTuple

from bench.figures import Figure

__all__ = ["Verdict", "check_bounds", "read_bounds", "read_known_failures"]

BOUNDS_PATH = Path(__file__).with_name("bounds.toml")
KNOWN_FAILURES_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_FAILURE = re.compile(r"(\w+): ")
# Key of the entries of tests, which conftest.py reads.
TEST_ENTRY = "test"


class Verdict(NamedTuple):
    """Result of comparing a figure with its bound."""

    key: str
    figure: Figure
    bound: str
    is_met: bool
    is_known_failure: bool
    source: str


def read_bounds(path: Path = BOUNDS_PATH) -> dict[str, dict[str, float | str]]:
    """Return the bounds by key, each with `min` or `max` and `source`."""
    return tomllib.loads(path.read_text())


def read_known_failures(path: Path = KNOWN_FAILURES_PATH) -> set[str]:
    """Return the keys of the bounds in the known-failures file, one per line `KEY: ...`."""
    if not path.exists():
        return set()
    found = (KNOWN_FAILURE.match(line) for line in path.read_text().splitlines())
    return {match[1] for match in found if match is not None and match[1] != TEST_ENTRY}


def check_bounds(
    found: dict[str, Figure], bounds: dict[str, dict[str, float | str]], known: set[str]
) -> list[Verdict]:
    """Compare the figures with their bounds; a bound without a figure is left out."""
    return [
        _verdict(key, found[key], bound, key in known)
        for key, bound in bounds.items()
        if key in found
    ]


def _verdict(key: str, figure: Figure, bound: dict[str, float | str], known: bool) -> Verdict:
    low, high = bound.get("min"), bound.get("max")
    kept = (low is None or figure.value >= float(low)) and (
        high is None or figure.value <= float(high)
    )
    text = f">= {low}" if low is not None else f"<= {high}"
    return Verdict(key, figure, text, kept, known, str(bound["source"]))
