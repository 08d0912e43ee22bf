"""Figures of idle daemon processes and of the propagation of a configuration."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

from bench.capacity.link_series import admin_get, read_control_bytes
from bench.processes import ChildProcess, ProcessGroup
from bench.wall_clock.bench_platforms import DOCUMENTS, BenchPlatform, make_document
from cassiadrum.defaults import LIMITS
from cassiadrum.protocols import HttpRequest
from cassiadrum.standins import Faults
from cassiadrum.standins.answers import Answer

__all__ = ["measure_idle", "measure_propagation"]

IDLE_MEASUREMENT_S = 8.0
# Links of each role at the target size (section 2.2 of docs/design.md).
LINKS_PER_ENTRY = 64
LINKS_PER_SIDECAR = 20
PROPAGATION_ENTRIES = 10
PROPAGATION_SIDECARS = 40
CHANGE_COUNT = 10
MAX_CONCURRENT_STARTS = 8


async def measure_idle() -> dict[str, float]:
    """Return memory, CPU share, control bytes and store calls of an idle daemon of each role."""
    found: dict[str, float] = {}
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).startup_info["http"]
        entry = await platform.start_entry("e0")
        first = await platform.start_sidecar("s0", "calls", "plain", engine)
        await asyncio.sleep(3.0)
        found["entry_idle_mb"] = entry.rss_bytes() / 1e6
        found["sidecar_idle_mb"] = first.rss_bytes() / 1e6
        await _start_all(
            [
                partial(platform.start_sidecar, f"s{n}", "calls", "plain", engine)
                for n in range(1, LINKS_PER_ENTRY)
            ]
        )
        await _start_all(
            [partial(platform.start_entry, f"e{n}") for n in range(1, LINKS_PER_SIDECAR)]
        )
        await _wait_for_links(entry, LINKS_PER_ENTRY)
        await asyncio.sleep(LIMITS.LINK_IDLE_AFTER_S + 1.0)
        for name, child in (("entry", entry), ("sidecar", first)):
            found |= {
                f"{name}_{key}": value
                for key, value in (await _measure_idle_daemon(child)).items()
            }
        await platform.close()
    return found


async def _start_all(
    starts: Sequence[Callable[[], Awaitable[ChildProcess]]],
) -> list[ChildProcess]:
    """Start daemons, at most MAX_CONCURRENT_STARTS at a time."""
    children: list[ChildProcess] = []
    for first in range(0, len(starts), MAX_CONCURRENT_STARTS):
        batch = starts[first : first + MAX_CONCURRENT_STARTS]
        children += await asyncio.gather(*(start() for start in batch))
    return children


async def _measure_idle_daemon(child: ChildProcess) -> dict[str, float]:
    cpu_s, sent, started_s = child.cpu_s(), await read_control_bytes(child), time.monotonic()
    calls = await _read_table_calls(child)
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    passed_s = time.monotonic() - started_s
    return {
        "cpu_share": (child.cpu_s() - cpu_s) / passed_s,
        "control_bytes_per_s": (await read_control_bytes(child) - sent) / passed_s,
        "table_calls_per_s": (await _read_table_calls(child) - calls) / passed_s,
        "linked_mb": child.rss_bytes() / 1e6,
    }


async def _read_table_calls(child: ChildProcess) -> float:
    text = (await admin_get(child, "/metrics")).decode()
    lines = [line for line in text.splitlines() if line.startswith("cassiadrum_store_calls")]
    return sum(float(line.rpartition(" ")[2]) for line in lines if 'store="table"' in line)


async def _wait_for_links(entry: ChildProcess, count: int) -> None:
    async with asyncio.timeout(60.0):
        while True:
            if len(json.loads(await admin_get(entry, "/admin/status"))["links"]) >= count:
                return
            await asyncio.sleep(0.2)


async def measure_propagation() -> dict[str, float]:
    """Return quantiles of the seconds until a configuration is in force in 50 processes.

    `up` is measured from the write, with the store up. `after_return` is measured from the end of
    an outage of the store that began right after the write. `peers` is measured from the first
    process that has the configuration, with the store down since that process read it.
    """
    async with ProcessGroup() as group:
        platform = BenchPlatform(group)
        await platform.start(DOCUMENTS)
        engine = (await group.start("bench.wall_clock.engine")).startup_info["http"]
        children = await _start_all(
            [
                partial(platform.start_sidecar, f"s{n}", "calls", "plain", engine)
                for n in range(PROPAGATION_SIDECARS)
            ]
        )
        entries = await _start_all(
            [partial(platform.start_entry, f"e{n}") for n in range(PROPAGATION_ENTRIES)]
        )
        for entry in entries:
            await _wait_for_links(entry, PROPAGATION_SIDECARS)
        children += entries
        up: list[float] = []
        for version in range(1, CHANGE_COUNT + 1):
            up += await _propagate_from_store(platform, children, version)
        returned = await _propagate_after_outage(platform, children, CHANGE_COUNT + 1)
        peers = await _propagate_through_peers(platform, children, CHANGE_COUNT + 2)
        await platform.close()
    return {
        "processes": float(len(children)),
        "changes": float(CHANGE_COUNT),
        "up_p50_s": _quantile(up, 0.5),
        "up_p99_s": _quantile(up, 0.99),
        "up_max_s": max(up),
        "after_return_max_s": max(returned),
        "peers_max_s": max(peers),
    }


async def _propagate_from_store(
    platform: BenchPlatform, children: list[ChildProcess], version: int
) -> list[float]:
    await platform.write_document("calls", make_document("calls", "plain"), version)
    return await _applied_times_s(children, version + 1, time.time())


async def _propagate_after_outage(
    platform: BenchPlatform, children: list[ChildProcess], version: int
) -> list[float]:
    """Write a row, take the store down before a process polls it, and restore it after 5 s."""
    await platform.write_document("calls", make_document("calls", "plain"), version)
    platform.table.set_faults(Faults(down=True))
    await asyncio.sleep(5.0)
    platform.table.set_faults(Faults())
    return await _applied_times_s(children, version + 1, time.time())


async def _propagate_through_peers(
    platform: BenchPlatform, children: list[ChildProcess], version: int
) -> list[float]:
    """Take the store down after the first read of the new row, so that peers propagate it."""
    table, answer = platform.table, platform.table.answer

    def answer_once(req: HttpRequest) -> Answer:
        found = answer(req)
        if req.method == "GET" and req.path.endswith("/rows/calls"):
            table.set_faults(Faults(down=True))
        return found

    await platform.write_document("calls", make_document("calls", "plain"), version)
    table.answer = answer_once  # type: ignore[method-assign]
    times = await _applied_times_s(children, version + 1, 0.0)
    return [at_s - min(times) for at_s in times]


async def _applied_times_s(
    children: list[ChildProcess], version: int, since_s: float
) -> list[float]:
    """Return when each process applied the version, in seconds after `since_s`.

    The times are those of the processes' own events.
    """
    async with asyncio.timeout(30.0):
        return await asyncio.gather(
            *(_applied_at_s(child, version, since_s) for child in children)
        )


async def _applied_at_s(child: ChildProcess, version: int, since_s: float) -> float:
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
