"""Run a local site for trying out the commands of operators."""

import argparse
import asyncio
from pathlib import Path

from cassiadrum.sites import LocalSite

__all__ = ["main"]

DEFAULT_SECONDS = 600.0


def main() -> None:
    """Run a site on loopback for a limited time and print the variable that names its platform."""
    parser = argparse.ArgumentParser(prog="python -m cassiadrum.sites", description=__doc__)
    parser.add_argument("documents", type=Path, nargs="+", help="service documents")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="time to run")
    options = parser.parse_args()
    asyncio.run(run([path.read_text() for path in options.documents], options.seconds))


async def run(texts: list[str], seconds: float) -> None:
    """Start a site, keep it running for a number of seconds and drain it."""
    site = LocalSite(texts)
    await site.start()
    addresses = site.platform_addresses
    table_service, instance_list = addresses["table_service"], addresses["instance_list"]
    print(f"export CASSIADRUM_PLATFORM={table_service},{instance_list}", flush=True)
    try:
        await asyncio.sleep(seconds)
    finally:
        await site.drain()
        await site.close()


if __name__ == "__main__":
    main()
