"""Command line of the load tool."""

import argparse
import sys
from pathlib import Path

from cassiadrum.loads import LoadOptions, MixError, load_mix, render_page, run_load
from cassiadrum.stores import StoreUnavailable

EXIT_BAD_INPUT = 2


def main() -> int:
    """Send a mix and print its report; the exit code is 1 if an invariant was violated."""
    options = _parse()
    try:
        mix = load_mix(options.mix)
        if options.duration is not None:
            mix = mix._replace(duration_s=options.duration)
        report = run_load(
            LoadOptions(
                mix,
                tuple(options.entry),
                options.seed,
                options.scale,
                options.instances,
                options.admin_token,
                options.standins,
            )
        )
    except (MixError, StoreUnavailable) as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_INPUT
    if options.html is not None:
        options.html.write_text(render_page(report))
    print(report.as_json() if options.json else report.as_text())
    return 1 if report.violations else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="cassiadrum.loads", description="Send a seeded load.")
    parser.add_argument("mix", type=Path, help="TOML file with rates by class")
    parser.add_argument("--entry", action="append", required=True, help="HOST:PORT, repeatable")
    parser.add_argument("--instances", default="", help="HOST:PORT of the instance list")
    parser.add_argument("--admin-token", default="", help="token of the admin interfaces")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scale", type=float, default=1.0, help="factor on all rates")
    parser.add_argument("--duration", type=float, help="seconds, instead of the file's")
    parser.add_argument("--standins", action="store_true", help="check the stand-ins' answers")
    parser.add_argument("--json", action="store_true", help="print JSON instead of text")
    parser.add_argument("--html", type=Path, help="also write an HTML page")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
