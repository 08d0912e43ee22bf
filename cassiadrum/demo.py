"""Both deployments on loopback: start, mixed load, table by class, invariant check."""

import argparse
import asyncio
import json
import logging
import sys
from pathlib import Path
from typing import Any

from cassiadrum.invariants import Violation, check_record
from cassiadrum.loads import LoadPlan, LoadSender
from cassiadrum.sites import LocalSite

__all__ = ["main"]

EXAMPLES = Path(__file__).parent.parent / "examples"
RATE_PER_S = 40.0
DURATION_S = 8.0
SEED = 1


def main() -> None:
    """Run the demo; the exit code is 0 only if every invariant held."""
    parser = argparse.ArgumentParser(description="Run both deployments on loopback.")
    parser.add_argument("--json", action="store_true", help="print one JSON object at the end")
    options = parser.parse_args()
    logging.basicConfig(level=logging.WARNING)
    report = asyncio.run(run())
    _print_table(report)
    if options.json:
        print(json.dumps(report))
    sys.exit(1 if report["violations"] else 0)


async def run() -> dict[str, Any]:
    """Return the report of one run."""
    texts = [path.read_text() for path in sorted(EXAMPLES.glob("*.toml"))]
    site = LocalSite(texts)
    await site.start()
    sender = LoadSender([entry.addresses["http"] for entry in site.entries], site.documents, SEED)
    await sender.run(LoadPlan.mixed(site.documents, RATE_PER_S, DURATION_S, SEED))
    await site.drain()
    record = site.record(sender.outcomes)
    violations = check_record(record)
    await site.close()
    return _report(site, sender, violations, record.missing_events)


def _report(
    site: LocalSite, sender: LoadSender, violations: list[Violation], missing: int
) -> dict[str, Any]:
    computed = sum(run["tokens"] for slot in site.slots for run in slot.endpoint.runs)
    delivered = sum(result.tokens for result in sender.results.values())
    services: dict[str, dict[str, Any]] = {document.name: {} for document in site.documents}
    for (service, class_name), result in sender.results.items():
        services[service][class_name] = result.as_dict()
    return {
        "services": services,
        "tokens_computed": computed,
        "tokens_delivered": delivered,
        "tokens_wasted": computed - delivered,
        "missing_events": missing,
        "violations": [violation._asdict() for violation in violations],
    }


def _print_table(report: dict[str, Any]) -> None:
    print(f"{'service':<16}{'class':<18}{'sent':>6}{'answered':>10}{'attained':>10}{'tokens':>9}")
    for service, classes in report["services"].items():
        for name, row in classes.items():
            share = "-" if row["attainment"] is None else f"{row['attainment']:.1%}"
            counts = f"{row['sent']:>6}{row['answered']:>10}{share:>10}{row['goodput_tokens']:>9}"
            refused = ", ".join(f"{why} {count}" for why, count in row["refusals"].items())
            print(f"{service:<16}{name:<18}{counts}  {refused}")
    print(f"wasted tokens: {report['tokens_wasted']} of {report['tokens_computed']}")
    print(f"invariant violations: {len(report['violations'])}")
    for violation in report["violations"]:
        print(f"  {violation['rule']}: {violation['detail']}")


if __name__ == "__main__":
    main()
