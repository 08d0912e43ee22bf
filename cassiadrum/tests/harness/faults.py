"""Faults that tests inject, alone or in combination."""

import asyncio
import json
import random
import uuid
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from cassiadrum.standins import Faults
from cassiadrum.tests.harness.callers import call
from cassiadrum.tests.harness.fault_proxies import Direction, FaultProxy
from cassiadrum.tests.harness.platforms import AddressedEngine
from cassiadrum.tests.harness.process_sites import ProcessSite

__all__ = ["FAULTS", "HOPS", "Fault", "write_configuration"]

HOPS = ("http", "link", "endpoint", "table")
SERVICE = "sprachdienst"
# Longer than the silence limit of a link, so that links are closed and opened again.
OUTAGE_S = 4.0

Inject = Callable[[ProcessSite, random.Random], Awaitable[None]]


class Fault(NamedTuple):
    """A fault; `inject` starts it, waits for its duration and ends it.

    With `keeps_streams`, a stream at entry-1 reaches its caller complete; otherwise the caller has
    to fetch the rest.
    """

    inject: Inject
    keeps_streams: bool = True


async def _straggler(site: ProcessSite, rng: random.Random) -> None:
    engine = _engine(site, rng)
    engine.batch.slow_factor = 20.0
    await asyncio.sleep(2.0)
    engine.batch.slow_factor = 1.0


async def _engine_crash(site: ProcessSite, rng: random.Random) -> None:
    body = json.dumps({"crash_after_tokens": 3}).encode()
    answer = await call(_engine(site, rng).address, "POST", "/faults", {}, body)
    assert answer.status == 200


def _report_fault(kind: str) -> Inject:
    async def inject(site: ProcessSite, rng: random.Random) -> None:
        engine = _engine(site, rng)
        engine.report_fault = kind
        await asyncio.sleep(2.0)
        engine.report_fault = ""

    return inject


def _store_fault(faults: Faults, duration_s: float) -> Inject:
    async def inject(site: ProcessSite, _rng: random.Random) -> None:
        with site.outage():
            site.platform.table.set_faults(faults)
            await asyncio.sleep(duration_s)
            site.platform.table.set_faults(Faults())

    return inject


def _instance_list_fault(faults: Faults) -> Inject:
    async def inject(site: ProcessSite, _rng: random.Random) -> None:
        site.platform.instances.set_faults(faults)
        await asyncio.sleep(2.5)
        site.platform.instances.set_faults(Faults())

    return inject


def _proxy_fault(hop: str, act: Callable[[FaultProxy], None], duration_s: float = 0.0) -> Inject:
    """Return a fault at one proxy of a hop; delays, limits and holds end after `duration_s`."""

    async def inject(site: ProcessSite, rng: random.Random) -> None:
        names = sorted(key for key in site.proxies if key.startswith(f"{hop}:"))
        key = "http:entry-1" if hop == "http" else rng.choice(names)
        proxy = site.proxies[key]
        with site.outage(key.partition(":")[2]):
            act(proxy)
            await asyncio.sleep(duration_s)
            proxy.delay_s = proxy.bytes_per_s = 0.0
            proxy.release()

    return inject


def _delay(proxy: FaultProxy) -> None:
    proxy.delay_s = 0.2


def _silence(direction: Direction, proxy: FaultProxy) -> None:
    proxy.silence(direction)


def _throttle(proxy: FaultProxy) -> None:
    proxy.bytes_per_s = 20_000.0


async def _zone_partition(site: ProcessSite, rng: random.Random) -> None:
    zone = site.zone(rng.choice(site.sidecars()))
    names = [name for name in site.sidecars() if site.zone(name) == zone]
    proxies = [site.proxies[f"{hop}:{name}"] for name in names for hop in ("link", "table")]
    with site.outage():
        for proxy in proxies:
            proxy.partition()
        await asyncio.sleep(OUTAGE_S)
        for proxy in proxies:
            proxy.heal()


def _process_pause(role: str, duration_s: float) -> Inject:
    async def inject(site: ProcessSite, rng: random.Random) -> None:
        name = _choose(site, role, rng)
        with site.outage(name):
            site.children[name].pause()
            await asyncio.sleep(duration_s)
            site.children[name].resume()

    return inject


def _process_kill(role: str) -> Inject:
    async def inject(site: ProcessSite, rng: random.Random) -> None:
        name = _choose(site, role, rng)
        async with site.restart_lock(name):
            await site.kill(name)
            await site.launch(name)

    return inject


def _process_restart(role: str) -> Inject:
    async def inject(site: ProcessSite, rng: random.Random) -> None:
        name = _choose(site, role, rng)
        async with site.restart_lock(name):
            if site.children[name].running:
                await site.stop(name)
            await site.launch(name)

    return inject


async def _concurrent_writes(site: ProcessSite, _rng: random.Random) -> None:
    """Change a service at all entry instances at once, from the same version."""
    writes = (write_configuration(site, entry, SERVICE) for entry in site.entries)
    results = await asyncio.gather(*writes)
    assert results.count("accepted") <= 1, results
    assert set(results) <= {"accepted", "conflict", "not_accepted", "unresolved", ""}, results


async def write_configuration(site: ProcessSite, entry: str, service: str) -> str:
    """Write a document with a new comment, based on the current version.

    Return the result from the entry instance, empty if there was no complete answer.
    """
    row = site.platform.table.rows.get("config", service)
    base = row.value["version"] if row else 0
    operation = uuid.uuid4().hex
    body = {
        "base_version": base,
        "operation_id": operation,
        "author": "test",
        "text": f"# {operation}\n{site.texts[service]}",
    }
    admin = site.children[entry].ready["admin"]
    target = f"/admin/services/{service}"
    answer = await call(admin, "POST", target, {}, json.dumps(body).encode())
    return str(answer.json["result"]) if answer.complete else ""


def _choose(site: ProcessSite, role: str, rng: random.Random) -> str:
    return rng.choice(sorted(site.entries if role == "entry" else site.sidecars()))


def _engine(site: ProcessSite, rng: random.Random) -> AddressedEngine:
    engine = site.endpoints[rng.choice(sorted(site.sidecars(SERVICE)))]
    assert isinstance(engine, AddressedEngine)
    return engine


FAULTS: dict[str, Fault] = {
    "straggler": Fault(_straggler),
    "engine crash": Fault(_engine_crash),
    "late reports": Fault(_report_fault("late")),
    "missing reports": Fault(_report_fault("missing")),
    "duplicate reports": Fault(_report_fault("duplicate")),
    "store down": Fault(_store_fault(Faults(down=True), OUTAGE_S)),
    "store slow": Fault(_store_fault(Faults(slow_s=1.0), OUTAGE_S)),
    "store very slow": Fault(_store_fault(Faults(slow_s=2.5), OUTAGE_S)),
    "store limited": Fault(_store_fault(Faults(limit_per_s=3.0), OUTAGE_S)),
    "write answers lost": Fault(_store_fault(Faults(drop_answers=2), 1.0)),
    "empty instance list": Fault(_instance_list_fault(Faults(empty=True))),
    "stale instance list": Fault(_instance_list_fault(Faults(stale=True))),
    "link cut": Fault(_proxy_fault("link", FaultProxy.cut)),
    "link reset": Fault(_proxy_fault("link", lambda proxy: proxy.cut(reset=True))),
    "link delayed": Fault(_proxy_fault("link", _delay, 1.5)),
    "link throttled": Fault(_proxy_fault("link", _throttle, 1.5)),
    "link held": Fault(_proxy_fault("link", FaultProxy.hold, 1.5)),
    "link half a frame": Fault(
        _proxy_fault("link", lambda p: p.truncate_next_read(Direction.TO_CLIENT))
    ),
    "endpoint reset": Fault(_proxy_fault("endpoint", lambda proxy: proxy.cut(reset=True))),
    "endpoint delayed": Fault(_proxy_fault("endpoint", _delay, 1.5)),
    "zone cut off": Fault(_zone_partition),
    "entry paused": Fault(_process_pause("entry", OUTAGE_S)),
    "sidecar paused": Fault(_process_pause("sidecar", OUTAGE_S)),
    "sidecar paused for long": Fault(_process_pause("sidecar", 11.0)),
    "entry killed": Fault(_process_kill("entry"), keeps_streams=False),
    "sidecar killed": Fault(_process_kill("sidecar")),
    "entry stopped": Fault(_process_restart("entry")),
    "sidecar stopped": Fault(_process_restart("sidecar")),
    "two operators": Fault(_concurrent_writes),
    **{
        f"silent {hop} {direction.value}": Fault(
            _proxy_fault(hop, partial(_silence, direction)),
            keeps_streams=hop != "http",
        )
        for hop in HOPS
        for direction in Direction
    },
}
