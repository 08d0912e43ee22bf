"""A site on loopback, started and stopped within one event loop."""

import asyncio
import time
import uuid

from cassiadrum.documents import ServiceDocument, parse_document
from cassiadrum.events import Event, merge_events
from cassiadrum.invariants import CallerOutcome, EndpointRun, FleetRecord
from cassiadrum.protocols import HttpClient
from cassiadrum.roles import Daemon, build_daemon
from cassiadrum.settings import parse_settings
from cassiadrum.sites.site_endpoints import SiteEndpoint
from cassiadrum.standins import (
    EngineStandIn,
    InstanceListService,
    ObjectService,
    PlainServiceStandIn,
    TableService,
)
from cassiadrum.states import Accepted, ConfigurationWriter
from cassiadrum.stores import HttpInstanceList, HttpTableStore, Instance, StoreTransport

__all__ = ["LocalSite"]

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class LocalSite:
    """The stand-ins of the platform, entry instances, and endpoints with their sidecars.

    `documents` are the texts of the service documents, `entries` is the number of entry
    instances, and `step_s` is the time in seconds in which an engine computes one token of a
    single stream. An entry instance connects to at most `subset_size` sidecars of a service.
    """

    def __init__(
        self,
        documents: list[str],
        *,
        entries: int = 2,
        step_s: float = 0.004,
        subset_size: int = 64,
    ) -> None:
        self.documents: list[ServiceDocument] = [parse_document(text) for text in documents]
        self.entries: list[Daemon] = []
        self.endpoints: list[SiteEndpoint] = []
        self.table_service = TableService()
        self.object_service = ObjectService()
        self.instance_list_service = InstanceListService()
        self._document_texts = documents
        self._entry_count = entries
        self._step_s = step_s
        self._limits_table = f"[limits]\nsubset_size = {subset_size}\n"
        self._subset_size = subset_size
        # HOST:PORT by key of the table `[platform]` in the settings.
        self.platform_addresses: dict[str, str] = {}
        self._platform_table = ""
        self._instance_list: HttpInstanceList | None = None
        self._store_clients: list[HttpClient] = []
        self.table_store: HttpTableStore | None = None

    async def start(self) -> None:
        """Start the site and wait until each entry instance is connected to all services."""
        await self._start_platform()
        for document, text in zip(self.documents, self._document_texts, strict=True):
            await self._publish_document(document.name, text)
            for number in range(document.endpoints):
                await self._start_endpoint(document, number)
        zones = [zone for document in self.documents for zone in document.zones]
        for number in range(self._entry_count):
            await self._start_entry(number, zones[number % len(zones)])
        async with asyncio.timeout(START_TIMEOUT_S):
            # No single event marks readiness, since several daemons connect independently.
            while not all(self._is_ready(entry) for entry in self.entries):  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    def entry_address(self, number: int = 0) -> str:
        """Return the HOST:PORT at which callers reach an entry instance."""
        return self.entries[number].addresses["http"]

    async def drain(self) -> None:
        """Drain and stop every daemon, one after the other."""
        daemons = [*self.entries, *(endpoint.sidecar for endpoint in self.endpoints)]
        for daemon in daemons:
            daemon.begin_drain()
            await daemon.wait_drained()
            await daemon.close()

    async def close(self) -> None:
        """Stop the stand-ins of the endpoints and the platform."""
        for client in self._store_clients:
            client.close()
        for endpoint in self.endpoints:
            await endpoint.standin.close()
        for standin in (self.table_service, self.object_service, self.instance_list_service):
            await standin.close()

    def record(self, callers: list[CallerOutcome]) -> FleetRecord:
        """Return the input of the invariant checks; complete only after `drain`."""
        daemons = [*self.entries, *(endpoint.sidecar for endpoint in self.endpoints)]
        events: list[Event] = []
        for daemon in daemons:
            events += daemon.ring.read_after(0, daemon.ring.last_sequence)
        runs = [
            EndpointRun(
                run["request_id"].rpartition(".")[0],
                endpoint.service,
                endpoint.instance,
                run["key"],
                run["started"],
                run["ended"] or None,
                run["tokens"],
                run["completed"],
            )
            for endpoint in self.endpoints
            for run in endpoint.standin.runs
        ]
        return FleetRecord(
            merge_events(events), tuple(callers), tuple(runs), tuple(self.documents)
        )

    async def _start_platform(self) -> None:
        table = await self.table_service.start()
        objects = await self.object_service.start()
        instances = await self.instance_list_service.start()
        self.platform_addresses = {
            "table_service": f"{HOST}:{table}",
            "object_store": f"{HOST}:{objects}",
            "instance_list": f"{HOST}:{instances}",
        }
        lines = [f'{key} = "{address}"\n' for key, address in self.platform_addresses.items()]
        self._platform_table = "[platform]\n" + "".join(lines)
        self.table_store = HttpTableStore(self._make_transport(table))
        self._instance_list = HttpInstanceList(self._make_transport(instances))

    async def _publish_document(self, service: str, text: str) -> None:
        assert self.table_store is not None
        writer = ConfigurationWriter(self.table_store)
        result = await writer.accept(service, text, 0, uuid.uuid4().hex, "local site")
        if not isinstance(result, Accepted):
            raise RuntimeError(f"service document of {service} was rejected: {result}")

    async def _start_endpoint(self, document: ServiceDocument, number: int) -> None:
        zone = document.zones[number % len(document.zones)]
        instance = f"{document.name}-{number + 1}"
        standin: EngineStandIn | PlainServiceStandIn = PlainServiceStandIn()
        if document.kind == "model":
            standin = EngineStandIn(step_s=self._step_s, models=document.models)
        port = await standin.start()
        kind = "engine" if document.kind == "model" else "plain"
        settings = (
            f'role = "sidecar"\ninstance = "{instance}"\nzone = "{zone}"\n{self._platform_table}'
            f'[endpoint]\nservice = "{document.name}"\nkind = "{kind}"\n'
            f'address = "{HOST}:{port}"\n{self._limits_table}'
        )
        sidecar = build_daemon(parse_settings(settings))
        await sidecar.start()
        self.endpoints.append(SiteEndpoint(instance, document.name, zone, standin, sidecar))
        await self._register(instance, "sidecar", document.name, zone, sidecar)

    async def _start_entry(self, number: int, zone: str) -> None:
        instance = f"entry-{number + 1}"
        settings = (
            f'role = "entry"\ninstance = "{instance}"\nzone = "{zone}"\n'
            f"{self._platform_table}{self._limits_table}"
        )
        entry = build_daemon(parse_settings(settings))
        await entry.start()
        self.entries.append(entry)
        await self._register(instance, "entry", "", zone, entry)

    async def _register(
        self, instance: str, role: str, service: str, zone: str, daemon: Daemon
    ) -> None:
        assert self._instance_list is not None
        link, admin = daemon.addresses.get("link", ""), daemon.addresses["admin"]
        await self._instance_list.register(Instance(instance, role, service, zone, link, admin))

    def _make_transport(self, port: int) -> StoreTransport:
        client = HttpClient(HOST, port)
        self._store_clients.append(client)
        return StoreTransport(client, time.monotonic)

    def _is_ready(self, entry: Daemon) -> bool:
        status = entry.status()
        expected_links = sum(
            min(document.endpoints, self._subset_size) for document in self.documents
        )
        return len(status["links"]) == expected_links and len(status["versions"]) == len(
            self.documents
        )
