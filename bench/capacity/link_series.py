"""Series by the number of links between a sidecar process and a process that dials it."""

import argparse
import asyncio
import json
import time
from typing import Any

from websockets.asyncio.connection import Connection

from bench.processes import ChildProcess, ProcessGroup
from bench.wall_clock.bench_platforms import DOCUMENTS, BenchPlatform
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links import Link, LinkDialer
from cassiadrum.links.messages import PROTOCOL_VERSION, Hello
from cassiadrum.loads.process_readers import ProcessReader
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.states import ConfigurationReader, ConfigurationRegistry

__all__ = ["admin_get", "measure_links", "read_control_bytes"]

LINK_COUNTS = (10, 100, 300, 600, 1000)
IDLE_MEASUREMENT_S = 6.0
# The links have to be idle, as in an idle fleet.
IDLE_TRANSITION_S = LIMITS.LINK_IDLE_AFTER_S + 1.0


async def measure_links() -> dict[str, list[tuple[float, float]]]:
    """Return memory, CPU time and control bytes by the number of links.

    Memory and CPU time are those of each end, control bytes those of the sidecar.
    """
    series: dict[str, list[tuple[float, float]]] = {}
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).startup_info["http"]
        for count in LINK_COUNTS:
            sidecar = await platform.start_sidecar(f"s{count}", "calls", "plain", engine)
            dialer = await group.start(
                "bench.capacity.link_series", sidecar.startup_info["link"], str(count)
            )
            found = await _measure_idle_links(sidecar, dialer)
            for name, value in found.items():
                series.setdefault(name, []).append((float(count), value))
            await dialer.stop()
            await sidecar.stop()
        await platform.close()
    return series


async def _measure_idle_links(sidecar: ChildProcess, dialer: ChildProcess) -> dict[str, float]:
    await asyncio.sleep(IDLE_TRANSITION_S)
    before = (sidecar.cpu_s(), dialer.cpu_s(), await read_control_bytes(sidecar), time.monotonic())
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    bytes_after = await read_control_bytes(sidecar)
    passed_s = time.monotonic() - before[3]
    return {
        "sidecar_link_memory_bytes": float(sidecar.rss_bytes()),
        "sidecar_link_cpu_us_per_s": 1e6 * (sidecar.cpu_s() - before[0]) / passed_s,
        "dialer_link_memory_bytes": float(dialer.rss_bytes()),
        "dialer_link_cpu_us_per_s": 1e6 * (dialer.cpu_s() - before[1]) / passed_s,
        "link_control_bytes_per_s": (bytes_after - before[2]) / passed_s,
    }


async def read_control_bytes(child: ChildProcess) -> float:
    """Return the control bytes in both directions since the daemon started."""
    text = (await admin_get(child, "/metrics")).decode()
    lines = [line for line in text.splitlines() if line.startswith("cassiadrum_control_bytes")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


async def admin_get(child: ChildProcess, target: str) -> bytes:
    """Return the body of an admin response of a daemon; raise RuntimeError without one."""
    body = await ProcessReader("127.0.0.1:1")._get(child.startup_info["admin"], target)
    if body is None:
        raise RuntimeError(f"admin interface of the daemon did not answer GET {target}")
    return body


class _DialerGroup:
    """Links to one sidecar, each as a different entry instance with the same documents."""

    def __init__(self, address: str, count: int) -> None:
        self._ring = EventRing(HybridLogicalClock(time.time), "d", "entry", "x")
        registry = ConfigurationRegistry()
        reader: Any = ConfigurationReader
        self._agent = ConfigurationAgent(registry, reader, self._ring, None)  # type: ignore[arg-type]
        self._dialers = [
            LinkDialer(address, self._make_link_factory(number), on_down=self._agent.link_down)
            for number in range(count)
        ]

    async def run(self) -> None:
        """Dial all links and hold them until the process is killed."""
        for dialer in self._dialers:
            dialer.start()
        async with asyncio.timeout(15.0):
            # No single event covers the state of all links, so it is polled.
            while not all(d.link and d.link.peer for d in self._dialers):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        print(json.dumps({"links": len(self._dialers)}), flush=True)
        await asyncio.Event().wait()

    def _make_link_factory(self, number: int) -> Any:
        hello = Hello(PROTOCOL_VERSION, f"e{number}", "entry", "z", "", "x")

        def make(conn: Connection) -> Link:
            return Link(
                conn,
                hello,
                on_message=self._deliver,
                heartbeat_payload=lambda: (self._agent.digest(), list(self._ring.clock.tick())),
                on_heartbeat=lambda link, digest, clock: self._agent.compare_digest(link, digest),
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
    asyncio.run(_DialerGroup(options.address, options.count).run())
