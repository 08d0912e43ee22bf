"""Measures of one run."""

from typing import Any

from bench.calls import Call
from bench.capacities import capacity_per_endpoint, healthy_endpoints
from bench.class_measures import measure_class
from bench.wait_checks import WaitCheck
from bench.workloads import WARM_UP_S, class_shares
from bench.worlds import World
from cassiadrum.documents import ServiceDocument

__all__ = ["measure"]


def measure(world: World) -> dict[str, Any]:
    """Return the measures of a finished run, ready for JSON."""
    services = {name: _service(world, doc) for name, doc in world.documents.items()}
    return {
        "services": services,
        "unsafe": sum(world.records.unsafe.values()),
        "unsafe_reasons": dict(world.records.unsafe),
        "never_ended": world.records.open_calls,
        "pauses": world.records.pauses,
    }


def _service(world: World, document: ServiceDocument) -> dict[str, Any]:
    records = world.records
    calls = [call for call in records.calls if call.req.service == document.name]
    produced = sum(
        sidecar.endpoint.tokens
        for sidecar in world.sidecars.values()
        if sidecar.service == document.name
    )
    wasted = {reason: work for (name, reason), work in records.wasted.items()
              if name == document.name}  # fmt: skip
    refusals = {reason: count for (name, reason), count in records.refusals.items()
                if name == document.name}  # fmt: skip
    return {
        "goodput": _goodput(world, document, calls),
        "produced": produced,
        "wasted": wasted,
        "refusals": refusals,
        "classes": _classes(world, document, calls),
        "wait_part": _wait_part(world, document, calls),
    }


def _classes(world: World, document: ServiceDocument, calls: list[Call]) -> dict[str, Any]:
    last_s = WARM_UP_S + world.spec.duration_s
    measured = [call for call in calls if WARM_UP_S <= call.req.arrived_s < last_s]
    return {
        cls.name: measure_class(
            cls,
            document.kind,
            [call for call in measured if call.req.class_name == cls.name],
            world.loop.now,
        )._asdict()
        for cls in document.classes
    }


def _goodput(world: World, document: ServiceDocument, calls: list[Call]) -> float:
    """Return the delivered work as a part of what the healthy endpoints can deliver."""
    start_s, end_s = WARM_UP_S, WARM_UP_S + world.spec.duration_s
    done = sum(_part_within(call, start_s, end_s) for call in calls if call.result == "done")
    down_s = sum(until - since for since, until in world.records.down_s.get(document.name, []))
    healthy = healthy_endpoints(document, world.scenario)
    endpoint_s = healthy * world.spec.duration_s - down_s
    return done / (endpoint_s * capacity_per_endpoint(document))


def _part_within(call: Call, start_s: float, end_s: float) -> float:
    """Return the work of a completed call that falls into the window."""
    began_s, ended_s = call.first_token_at_s, call.ended_at_s
    if began_s is None or ended_s is None or ended_s <= began_s:
        return 0.0
    inside_s = min(ended_s, end_s) - max(began_s, start_s)
    return call.work * max(0.0, inside_s) / (ended_s - began_s)


def _wait_part(world: World, document: ServiceDocument, calls: list[Call]) -> dict[str, float]:
    """Return each class's longest wait as a part of its bound, over all entry instances."""
    load = world.spec.load
    protected = sum(
        class_shares(document, world.scenario, cls, load)[0]
        for cls in document.classes
        if cls.protected
    )
    # An engine that is down for part of the run is no capacity to whoever waits meanwhile.
    endpoints = healthy_endpoints(document, world.scenario)
    endpoints -= world.scenario.crash and document.kind == "model"
    capacity = capacity_per_endpoint(document) * endpoints / world.spec.entries
    parts = {}
    for cls in document.classes:
        if cls.protected:
            continue
        checks = [
            WaitCheck(cls, _of(calls, cls.name, entry), (1 - protected) * capacity, world.loop.now)
            for entry in range(world.spec.entries)
        ]
        parts[cls.name] = max(check.worst() for check in checks)
    return parts


def _of(calls: list[Call], class_name: str, entry: int) -> list[Call]:
    return [call for call in calls if call.req.class_name == class_name and call.entry == entry]
