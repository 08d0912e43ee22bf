"""Measure the slopes and the figures at rest, and write bench/capacity.json."""

import argparse
import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_line
from bench.capacity.link_series import measure_links
from bench.capacity.pages import write_page
from bench.capacity.rest_figures import measure_rest, measure_spread
from bench.capacity.state_series import STATE_SERIES

OUTPUT = Path(__file__).parent.parent / "capacity.json"
PARTS = ("state", "links", "rest", "spread")


def main() -> None:
    """Run the parts that were asked for and merge them into the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS)}; all by default")
    parser.add_argument("--series", nargs="*", help="of the state series; all by default")
    parser.add_argument("--page", action="store_true", help="only write the page again")
    options = parser.parse_args()
    parts = [] if options.page else options.parts or list(PARTS)
    report: dict[str, Any] = json.loads(OUTPUT.read_text()) if OUTPUT.exists() else {}
    report.setdefault("series", {})
    for part in parts:
        load = os.getloadavg()[0]
        if part == "state":
            names = options.series or list(STATE_SERIES)
            series = {name: STATE_SERIES[name]() for name in names}
            report["series"] |= {name: _entry(points) for name, points in series.items()}
        elif part == "links":
            links = asyncio.run(measure_links())
            report["series"] |= {name: _entry(points) for name, points in links.items()}
        else:
            measure = measure_rest if part == "rest" else measure_spread
            report[part] = asyncio.run(measure())
        at = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime())
        report.setdefault("runs", {})[part] = {"at": at, "load_average": load}
        OUTPUT.write_text(json.dumps(report, indent=1, sort_keys=True) + "\n")
    write_page(report)


def _entry(points: list[tuple[float, float]]) -> dict[str, Any]:
    return {"points": points, **fit_line(points)._asdict()}


if __name__ == "__main__":
    main()
