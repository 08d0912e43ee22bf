"""Measures of one run."""

from typing import Any

from bench.calls import Call
from bench.capacities import capacity_per_endpoint, count_healthy_endpoints
from bench.class_measures import measure_class
from bench.simulations import Simulation
from bench.wait_checks import WaitCheck
from bench.workloads import WARM_UP_S, class_shares
from cassiadrum.documents import ServiceDocument

__all__ = ["measure"]


def measure(simulation: Simulation) -> dict[str, Any]:
    """Return the measures of a finished run as JSON-serializable values."""
    services = {name: _service(simulation, doc) for name, doc in simulation.documents.items()}
    return {
        "services": services,
        "unsafe": sum(simulation.records.unsafe.values()),
        "unsafe_reasons": dict(simulation.records.unsafe),
        "never_ended": simulation.records.open_calls,
        "pauses": simulation.records.pauses,
    }


def _service(simulation: Simulation, document: ServiceDocument) -> dict[str, Any]:
    records = simulation.records
    calls = [call for call in records.calls if call.req.service == document.name]
    produced = sum(
        sidecar.endpoint.produced
        for sidecar in simulation.sidecars.values()
        if sidecar.service == document.name
    )
    wasted = {reason: work for (name, reason), work in records.wasted.items()
              if name == document.name}  # fmt: skip
    refusals = {reason: count for (name, reason), count in records.refusals.items()
                if name == document.name}  # fmt: skip
    return {
        "goodput": _goodput(simulation, document, calls),
        "produced": produced,
        "wasted": wasted,
        "refusals": refusals,
        "classes": _classes(simulation, document, calls),
        "wait_part": _wait_ratios(simulation, document, calls),
    }


def _classes(
    simulation: Simulation, document: ServiceDocument, calls: list[Call]
) -> dict[str, Any]:
    last_s = WARM_UP_S + simulation.spec.duration_s
    measured = [call for call in calls if WARM_UP_S <= call.req.arrived_s < last_s]
    return {
        cls.name: measure_class(
            cls,
            document.kind,
            [call for call in measured if call.req.class_name == cls.name],
            simulation.loop.now,
        )._asdict()
        for cls in document.classes
    }


def _goodput(simulation: Simulation, document: ServiceDocument, calls: list[Call]) -> float:
    """Return the delivered work as a fraction of the capacity of the healthy endpoints."""
    start_s, end_s = WARM_UP_S, WARM_UP_S + simulation.spec.duration_s
    done = sum(_work_within(call, start_s, end_s) for call in calls if call.result == "done")
    down_s = sum(
        until - since for since, until in simulation.records.downtimes_s.get(document.name, [])
    )
    healthy = count_healthy_endpoints(document, simulation.scenario)
    endpoint_s = healthy * simulation.spec.duration_s - down_s
    return done / (endpoint_s * capacity_per_endpoint(document))


def _work_within(call: Call, start_s: float, end_s: float) -> float:
    """Return the work of a completed call within the window, assuming a constant rate."""
    began_s, ended_s = call.first_token_at_s, call.ended_at_s
    if began_s is None or ended_s is None or ended_s <= began_s:
        return 0.0
    inside_s = min(ended_s, end_s) - max(began_s, start_s)
    return call.work * max(0.0, inside_s) / (ended_s - began_s)


def _wait_ratios(
    simulation: Simulation, document: ServiceDocument, calls: list[Call]
) -> dict[str, float]:
    """Return each class's longest wait relative to its bound, over all entry instances."""
    load = simulation.spec.load
    protected = sum(
        class_shares(document, simulation.scenario, cls, load)[0]
        for cls in document.classes
        if cls.protected
    )
    # An engine that is down for part of the run is no capacity for requests waiting meanwhile.
    endpoints = count_healthy_endpoints(document, simulation.scenario)
    endpoints -= simulation.scenario.crash and document.kind == "model"
    capacity = capacity_per_endpoint(document) * endpoints / simulation.spec.entries
    parts = {}
    for cls in document.classes:
        if cls.protected:
            continue
        checks = [
            WaitCheck(
                cls,
                _calls_of(calls, cls.name, entry),
                (1 - protected) * capacity,
                simulation.loop.now,
            )
            for entry in range(simulation.spec.entries)
        ]
        parts[cls.name] = max(check.max_ratio() for check in checks)
    return parts


def _calls_of(calls: list[Call], class_name: str, entry: int) -> list[Call]:
    return [call for call in calls if call.req.class_name == class_name and call.entry == entry]
