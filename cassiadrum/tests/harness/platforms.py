"""Stand-ins of the platform services and endpoints, in the process of the test."""

import time
import uuid
from typing import Any

from cassiadrum.documents import ServiceDocument
from cassiadrum.protocols import HttpClient
from cassiadrum.standins import (
    EngineStandIn,
    InstanceListService,
    ObjectService,
    PlainServiceStandIn,
    TableService,
)
from cassiadrum.states import Accepted, ConfigurationWriter
from cassiadrum.stores import HttpInstanceList, HttpTableStore, Instance, StoreTransport

__all__ = ["AddressedEngine", "EndpointStandin", "Platform", "build_endpoint"]

HOST = "127.0.0.1"


class AddressedEngine(EngineStandIn):
    """An engine stand-in that stores its address and can send faulty load reports.

    `report_fault` is `late` (the load at the start of the fault is reported until its end, and
    cache events are delayed until then), `missing` (every second report is empty and cache events
    are lost), `duplicate` (cache events are sent twice) or empty.
    """

    address = ""
    report_fault = ""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._report_count = 0
        self._stale_load: dict[str, Any] = {}
        self._delayed_cache_events: list[int] = []

    def _load_report(self) -> dict[str, Any]:
        load = super()._load_report()
        self._report_count += 1
        if self.report_fault == "late":
            self._delayed_cache_events += load["cached"]
            self._stale_load = self._stale_load or load
            return {**self._stale_load, "cached": []}
        self._stale_load = {}
        if self.report_fault == "missing":
            return {} if self._report_count % 2 else {**load, "cached": []}
        if self.report_fault == "duplicate":
            return {**load, "cached": load["cached"] * 2}
        delayed, self._delayed_cache_events = self._delayed_cache_events, []
        return {**load, "cached": delayed + load["cached"]}


class AddressedPlainService(PlainServiceStandIn):
    """A plain service stand-in that stores its address."""

    address = ""


EndpointStandin = AddressedEngine | AddressedPlainService


def build_endpoint(document: ServiceDocument, step_s: float) -> EndpointStandin:
    """Return a stand-in for an endpoint of a service; it is not started."""
    if document.kind == "model":
        return AddressedEngine(step_s=step_s, models=document.models)
    return AddressedPlainService()


class Platform:
    """Run the table service, the object store and the instance list."""

    def __init__(self) -> None:
        self.table = TableService()
        self.objects = ObjectService()
        self.instances = InstanceListService()
        self.table_address = ""
        self.object_address = ""
        self.list_address = ""

    async def start(self) -> None:
        """Start the stand-ins."""
        self.table_address = f"{HOST}:{await self.table.start()}"
        self.object_address = f"{HOST}:{await self.objects.start()}"
        self.list_address = f"{HOST}:{await self.instances.start()}"

    async def close(self) -> None:
        """Stop the stand-ins."""
        for standin in (self.table, self.objects, self.instances):
            await standin.close()

    def store(self, address: str = "") -> HttpTableStore:
        """Return a client of the table service."""
        return HttpTableStore(transport_to(address or self.table_address))

    async def accept(self, service: str, text: str, base: int) -> Accepted:
        """Write a configuration as an operator."""
        writer = ConfigurationWriter(self.store())
        result = await writer.accept(service, text, base, uuid.uuid4().hex, "test")
        assert isinstance(result, Accepted), result
        return result

    async def register(self, name: str, service: str, zone: str, link: str, admin: str) -> None:
        """Add an instance to the instance list."""
        role = "sidecar" if service else "entry"
        instances = HttpInstanceList(transport_to(self.list_address))
        await instances.register(Instance(name, role, service, zone, link, admin))

    async def deregister(self, name: str) -> None:
        """Remove an instance from the instance list."""
        host, _, port = self.list_address.rpartition(":")
        client = HttpClient(host, int(port))
        response = await client.request("DELETE", f"/instances/{name}")
        await response.read()
        client.close()


def transport_to(address: str) -> StoreTransport:
    """Return a transport to the store at HOST:PORT."""
    host, _, port = address.rpartition(":")
    return StoreTransport(HttpClient(host, int(port)), time.monotonic)
