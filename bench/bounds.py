"""Regression bounds of the benchmark and the list of known failures."""

import tomllib
from pathlib import Path
from typing import NamedTuple

from bench.figures import Figure

__all__ = ["Verdict", "check_bounds", "read_bounds", "read_known_failures"]

BOUNDS_PATH = Path(__file__).with_name("bounds.toml")
KNOWN_FAILURES_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


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
    """Return the first word of each line of the known-failures file, without its colon."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0].rstrip(":") for line in lines if line.strip() and line[0] != "#"}


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
