"""Figures of real daemons at rest, and of the spread of a configuration."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

from bench.capacity.link_series import admin_get, control_bytes
from bench.processes import Child, ProcessGroup
from bench.wall_clock.sites import DOCUMENTS, BenchPlatform, document
from cassiadrum.defaults import LIMITS
from cassiadrum.protocols import HttpRequest
from cassiadrum.standins import Faults
from cassiadrum.standins.answers import Answer

__all__ = ["measure_rest", "measure_spread"]

REST_S = 8.0
# Links for each role at the target size (section 2.2 of the design page).
ENTRY_LINKS = 64
SIDECAR_LINKS = 20
SPREAD_ENTRIES = 10
SPREAD_SIDECARS = 40
CHANGES = 10
START_TOGETHER = 8


async def measure_rest() -> dict[str, float]:
    """Return memory, processor share, control bytes and store calls of each role at rest."""
    found: dict[str, float] = {}
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).ready["http"]
        entry = await platform.entry("e0")
        first = await platform.sidecar("s0", "calls", "plain", engine)
        await asyncio.sleep(3.0)
        found["entry_idle_mb"] = entry.rss_bytes() / 1e6
        found["sidecar_idle_mb"] = first.rss_bytes() / 1e6
        await _start_all(
            [
                partial(platform.sidecar, f"s{n}", "calls", "plain", engine)
                for n in range(1, ENTRY_LINKS)
            ]
        )
        await _start_all([partial(platform.entry, f"e{n}") for n in range(1, SIDECAR_LINKS)])
        await _linked(entry, ENTRY_LINKS)
        await asyncio.sleep(LIMITS.LINK_IDLE_AFTER_S + 1.0)
        for name, child in (("entry", entry), ("sidecar", first)):
            found |= {f"{name}_{key}": value for key, value in (await _rest(child)).items()}
        await platform.close()
    return found


async def _start_all(starts: Sequence[Callable[[], Awaitable[Child]]]) -> list[Child]:
    """Start daemons, a few at a time."""
    children: list[Child] = []
    for first in range(0, len(starts), START_TOGETHER):
        batch = starts[first : first + START_TOGETHER]
        children += await asyncio.gather(*(start() for start in batch))
    return children


async def _rest(child: Child) -> dict[str, float]:
    cpu_s, sent, started_s = child.cpu_s(), await control_bytes(child), time.monotonic()
    calls = await _store_calls(child)
    await asyncio.sleep(REST_S)
    passed_s = time.monotonic() - started_s
    return {
        "cpu_share": (child.cpu_s() - cpu_s) / passed_s,
        "control_bytes_per_s": (await control_bytes(child) - sent) / passed_s,
        "table_calls_per_s": (await _store_calls(child) - calls) / passed_s,
        "linked_mb": child.rss_bytes() / 1e6,
    }


async def _store_calls(child: Child) -> float:
    text = (await admin_get(child, "/metrics")).decode()
    lines = [line for line in text.splitlines() if line.startswith("cassiadrum_store_calls")]
    return sum(float(line.rpartition(" ")[2]) for line in lines if 'store="table"' in line)


async def _linked(entry: Child, count: int) -> None:
    async with asyncio.timeout(60.0):
        while True:
            if len(json.loads(await admin_get(entry, "/admin/status"))["links"]) >= count:
                return
            await asyncio.sleep(0.2)


async def measure_spread() -> dict[str, float]:
    """Return the seconds until a configuration is in force in each of 50 processes.

    `up` counts from the write with the store up. `after_return` counts from the return of a store
    that went down right after the write. `peers` counts from the first process that has the
    configuration, with the store down from that read on.
    """
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).ready["http"]
        children = await _start_all(
            [
                partial(platform.sidecar, f"s{n}", "calls", "plain", engine)
                for n in range(SPREAD_SIDECARS)
            ]
        )
        entries = await _start_all(
            [partial(platform.entry, f"e{n}") for n in range(SPREAD_ENTRIES)]
        )
        for entry in entries:
            await _linked(entry, SPREAD_SIDECARS)
        children += entries
        up: list[float] = []
        for version in range(1, CHANGES + 1):
            up += await _spread_once(platform, children, version)
        returned = await _after_return(platform, children, CHANGES + 1)
        peers = await _through_peers(platform, children, CHANGES + 2)
        await platform.close()
    return {
        "processes": float(len(children)),
        "changes": float(CHANGES),
        "up_p50_s": _quantile(up, 0.5),
        "up_p99_s": _quantile(up, 0.99),
        "up_max_s": max(up),
        "after_return_max_s": max(returned),
        "peers_max_s": max(peers),
    }


async def _spread_once(
    platform: BenchPlatform, children: list[Child], version: int
) -> list[float]:
    await platform.accept("calls", document("calls", "plain"), version)
    return await _in_force(children, version + 1, time.time())


async def _after_return(
    platform: BenchPlatform, children: list[Child], version: int
) -> list[float]:
    """Write a row, take the store down before anyone polls it, and bring it back after 5 s."""
    await platform.accept("calls", document("calls", "plain"), version)
    platform.table.set_faults(Faults(down=True))
    await asyncio.sleep(5.0)
    platform.table.set_faults(Faults())
    return await _in_force(children, version + 1, time.time())


async def _through_peers(
    platform: BenchPlatform, children: list[Child], version: int
) -> list[float]:
    """Take the store down at the first read of the new row; peers have to spread it."""
    table, answer = platform.table, platform.table.answer

    def answer_once(req: HttpRequest) -> Answer:
        found = answer(req)
        if req.method == "GET" and req.path.endswith("/rows/calls"):
            table.set_faults(Faults(down=True))
        return found

    await platform.accept("calls", document("calls", "plain"), version)
    table.answer = answer_once  # type: ignore[method-assign]
    times = await _in_force(children, version + 1, 0.0)
    return [at_s - min(times) for at_s in times]


async def _in_force(children: list[Child], version: int, since_s: float) -> list[float]:
    """Return when each process applied the version, by the times of its own events."""
    async with asyncio.timeout(30.0):
        return await asyncio.gather(*(_applied(child, version, since_s) for child in children))


async def _applied(child: Child, version: int, since_s: float) -> float:
    while True:
        events = json.loads(await admin_get(child, "/admin/events"))["events"]
        for hlc, _, _, kind, _, service, _, _, fields, *_ in events:
            applied = kind == "configuration_applied" and service == "calls"
            if applied and fields["version"] >= version:
                return max(0.0, float(hlc[0]) / 1e6 - since_s)
        await asyncio.sleep(0.25)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
