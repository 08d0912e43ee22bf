"""Series over the number of links: a real sidecar, and a real process that dials it."""

import argparse
import asyncio
import json
import time
from typing import Any

from websockets.asyncio.connection import Connection

from bench.processes import Child, ProcessGroup
from bench.wall_clock.sites import DOCUMENTS, BenchPlatform
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links import Link, LinkDialer
from cassiadrum.links.messages import PROTOCOL_VERSION, Hello
from cassiadrum.loads.process_readers import ProcessReader
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.states import ConfigurationReader, ConfigurationRegistry

__all__ = ["admin_get", "control_bytes", "measure_links"]

COUNTS = (10, 100, 300, 600, 1000)
REST_S = 6.0
# The links have to be idle, as those of a fleet at rest are.
SETTLE_S = LIMITS.IDLE_AFTER_S + 1.0


async def measure_links() -> dict[str, list[tuple[float, float]]]:
    """Return memory, processor time and control bytes of both ends by the number of links."""
    series: dict[str, list[tuple[float, float]]] = {}
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).ready["http"]
        for count in COUNTS:
            sidecar = await platform.sidecar(f"s{count}", "calls", "plain", engine)
            dialer = await group.start(
                "bench.capacity.link_series", sidecar.ready["link"], str(count)
            )
            found = await _rest(sidecar, dialer)
            for name, value in found.items():
                series.setdefault(name, []).append((float(count), value))
            await dialer.stop()
            await sidecar.stop()
        await platform.close()
    return series


async def _rest(sidecar: Child, dialer: Child) -> dict[str, float]:
    await asyncio.sleep(SETTLE_S)
    before = (sidecar.cpu_s(), dialer.cpu_s(), await control_bytes(sidecar), time.monotonic())
    await asyncio.sleep(REST_S)
    bytes_after = await control_bytes(sidecar)
    passed_s = time.monotonic() - before[3]
    return {
        "sidecar_link_memory_bytes": float(sidecar.rss_bytes()),
        "sidecar_link_cpu_us_per_s": 1e6 * (sidecar.cpu_s() - before[0]) / passed_s,
        "dialer_link_memory_bytes": float(dialer.rss_bytes()),
        "dialer_link_cpu_us_per_s": 1e6 * (dialer.cpu_s() - before[1]) / passed_s,
        "link_control_bytes_per_s": (bytes_after - before[2]) / passed_s,
    }


async def control_bytes(child: Child) -> float:
    """Return the control bytes in both directions since the start of a daemon."""
    text = (await admin_get(child, "/metrics")).decode()
    lines = [line for line in text.splitlines() if line.startswith("cassiadrum_control_bytes")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


async def admin_get(child: Child, target: str) -> bytes:
    """Return what the admin interface of a daemon answers."""
    body = await ProcessReader("127.0.0.1:1")._get(child.ready["admin"], target)
    if body is None:
        raise RuntimeError(f"no answer to {target}")
    return body


class _Dialers:
    """Hold links to one sidecar, each as another entry instance with the same documents."""

    def __init__(self, address: str, count: int) -> None:
        self._ring = EventRing(HybridLogicalClock(time.time), "d", "entry", "x")
        registry = ConfigurationRegistry()
        reader: Any = ConfigurationReader
        self._agent = ConfigurationAgent(registry, reader, self._ring, None)  # type: ignore[arg-type]
        self._dialers = [
            LinkDialer(address, self._maker(number), on_down=self._agent.link_down)
            for number in range(count)
        ]

    async def run(self) -> None:
        """Dial all and hold the links."""
        for dialer in self._dialers:
            dialer.start()
        async with asyncio.timeout(15.0):
            # The state is spread over many links, so it is polled.
            while not all(d.link and d.link.peer for d in self._dialers):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        print(json.dumps({"links": len(self._dialers)}), flush=True)
        await asyncio.Event().wait()

    def _maker(self, number: int) -> Any:
        hello = Hello(PROTOCOL_VERSION, f"e{number}", "entry", "z", "", "x")

        def make(conn: Connection) -> Link:
            return Link(
                conn,
                hello,
                deliver=self._deliver,
                heartbeat=lambda: (self._agent.digest(), list(self._ring.clock.tick())),
                heard=lambda link, digest, clock: self._agent.compare_digest(link, digest),
            )

        return make

    def _deliver(self, link: Link, msg: Any) -> None:
        if isinstance(msg, Hello):
            self._agent.link_up(link)
        self._agent.handle_message(link, msg)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("count", type=int)
    options = parser.parse_args()
    asyncio.run(_Dialers(options.address, options.count).run())
