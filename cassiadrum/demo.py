"""Demo that runs both example deployments on loopback under mixed load and checks invariants."""

import argparse
import asyncio
import json
import logging
import sys
from pathlib import Path
from typing import Any

from cassiadrum.invariants import check_record
from cassiadrum.loads import LoadMix, LoadPlan, LoadReport, LoadSender, load_mix
from cassiadrum.sites import LocalSite

__all__ = ["main", "render", "run"]

EXAMPLES = Path(__file__).parent.parent / "examples"
MIXES = ("load-foundries.toml", "load-collective.toml")
SEED = 1


def main() -> None:
    """Run the demo; exit with code 0 only if no invariant was violated."""
    parser = argparse.ArgumentParser(description="Run both deployments on loopback.")
    parser.add_argument("--json", action="store_true", help="print one JSON object only")
    options = parser.parse_args()
    logging.basicConfig(level=logging.WARNING)
    report, computed = asyncio.run(run())
    print(render(report, computed, as_json=options.json))
    sys.exit(1 if report.violations else 0)


def render(report: LoadReport, computed: int, *, as_json: bool) -> str:
    """Return the report as text, or as JSON with the number of tokens the engines computed."""
    if as_json:
        return json.dumps({**report.as_dict(), "tokens_computed": computed})
    return report.as_text()


async def run() -> tuple[LoadReport, int]:
    """Return the report of one run and the number of tokens the engines computed."""
    mix = _join_mixes([load_mix(EXAMPLES / name) for name in MIXES])
    site = LocalSite(list(mix.texts))
    await site.start()
    sender = LoadSender([entry.addresses["http"] for entry in site.entries], site.documents, SEED)
    await sender.run(LoadPlan.from_mix(mix, SEED))
    await site.drain()
    record = site.record(sender.outcomes)
    await site.close()
    computed = sum(run["tokens"] for endpoint in site.endpoints for run in endpoint.standin.runs)
    report = LoadReport.from_sender(sender, SEED, mix.duration_s)
    return report._replace(
        tokens_wasted=computed - report.tokens_delivered,
        missing_events=record.missing_events,
        violations=check_record(record),
        checked="events and runs",
    ), computed


def _join_mixes(mixes: list[LoadMix]) -> LoadMix:
    """Return one load mix for several deployments that share a site."""
    joined: dict[str, Any] = {
        field: tuple(item for mix in mixes for item in getattr(mix, field))
        for field in ("documents", "texts", "rates", "bursts")
    }
    return mixes[0]._replace(**joined)


if __name__ == "__main__":
    main()
