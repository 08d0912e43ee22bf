"""Measure the capacity series and idle figures, and write bench/capacity.json and its page."""

import argparse
import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_line
from bench.capacity.idle_figures import measure_idle, measure_propagation
from bench.capacity.link_series import measure_links
from bench.capacity.pages import write_page
from bench.capacity.state_series import STATE_SERIES

OUTPUT_PATH = Path(__file__).parent.parent / "capacity.json"
PARTS = ("state", "links", "rest", "spread")


def main() -> None:
    """Run the selected parts and merge their figures into the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS)}; all by default")
    parser.add_argument("--series", nargs="*", help="names of state series; all by default")
    parser.add_argument(
        "--page",
        action="store_true",
        help="write the page from the committed figures without measuring",
    )
    options = parser.parse_args()
    parts = [] if options.page else options.parts or list(PARTS)
    # With KeyboardInterrupt on SIGTERM, asyncio.run cancels the measurement, which then kills its
    # child processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for part in parts:
        load = os.getloadavg()[0]
        measured = _measure(part, options.series or list(STATE_SERIES))
        report = _read_report()
        if part in ("state", "links"):
            report["series"] |= {name: _series_entry(points) for name, points in measured.items()}
        else:
            report[part] = measured
        at = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime())
        report["runs"][part] = {"at": at, "load_average": load}
        OUTPUT_PATH.write_text(json.dumps(report, indent=1, sort_keys=True) + "\n")
    write_page(_read_report())


def _read_report() -> dict[str, Any]:
    empty: dict[str, Any] = {"series": {}, "runs": {}}
    return json.loads(OUTPUT_PATH.read_text()) if OUTPUT_PATH.exists() else empty


def _measure(part: str, names: list[str]) -> dict[str, Any]:
    if part == "state":
        return {name: STATE_SERIES[name]() for name in names}
    if part == "links":
        return dict(asyncio.run(measure_links()))
    return dict(asyncio.run(measure_idle() if part == "rest" else measure_propagation()))


def _series_entry(points: list[tuple[float, float]]) -> dict[str, Any]:
    return {"points": points, **fit_line(points)._asdict()}


if __name__ == "__main__":
    main()
