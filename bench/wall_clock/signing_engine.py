"""Stub endpoint of the platform: paced events for streams, immediate plain answers."""

import argparse
import asyncio
import json

from cassiadrum.platform.standins import EndpointService

SLOTS = 256


async def main() -> None:
    """Print the address and the directory entry, and serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--step-s", type=float, default=0.005)
    options = parser.parse_args()
    engine = EndpointService(options.instance, slots=SLOTS, event_interval_s=options.step_s)
    await engine.start()
    entry = engine.entry(options.instance)
    print(json.dumps({"http": engine.address, "entry": entry}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
