"""Start and stop of a local site."""

import asyncio
import time
import uuid

from cassiadrum.documents import ServiceDocument, parse_document
from cassiadrum.events import Event, merge_events
from cassiadrum.invariants import CallerOutcome, EndpointRun, FleetRecord
from cassiadrum.protocols import HttpClient
from cassiadrum.roles import Daemon, build_daemon
from cassiadrum.settings import parse_settings
from cassiadrum.sites.endpoint_slots import EndpointSlot
from cassiadrum.standins import (
    EngineStandin,
    InstanceListService,
    ObjectService,
    PlainServiceStandin,
    TableService,
)
from cassiadrum.states import Accepted, ConfigurationWriter
from cassiadrum.stores import HttpInstanceList, HttpTableStore, Instance, StoreTransport

__all__ = ["LocalSite"]

HOST = "127.0.0.1"
START_LIMIT_S = 20.0
POLL_S = 0.02


class LocalSite:
    """Run the platform's stand-ins, entry instances, and an endpoint with a sidecar each.

    `documents` are the texts of the service documents; `entries` counts entry instances. Engines
    take `step_s` seconds for a token of one stream. `subset_size` bounds the sidecars of a
    service that an entry instance connects to.
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
        self.slots: list[EndpointSlot] = []
        self.table = TableService()
        self.objects = ObjectService()
        self.instances = InstanceListService()
        self._texts = documents
        self._entry_count = entries
        self._step_s = step_s
        self._limits = f"[limits]\nsubset_size = {subset_size}\n"
        self._subset_size = subset_size
        # HOST:PORT by the key of the settings' table `[platform]`.
        self.platform_addresses: dict[str, str] = {}
        self._platform = ""
        self._instance_list: HttpInstanceList | None = None
        self.table_store: HttpTableStore | None = None

    async def start(self) -> None:
        """Start everything and wait until each service can be reached at each entry instance."""
        await self._start_platform()
        for document, text in zip(self.documents, self._texts, strict=True):
            await self._accept(document.name, text)
            for number in range(document.endpoints):
                await self._start_slot(document, number)
        zones = [zone for document in self.documents for zone in document.zones]
        for number in range(self._entry_count):
            await self._start_entry(number, zones[number % len(zones)])
        async with asyncio.timeout(START_LIMIT_S):
            # The readiness is spread over several processes, so it is polled.
            while not all(self._ready(entry) for entry in self.entries):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    def entry_address(self, number: int = 0) -> str:
        """Return the HOST:PORT of an entry instance for callers."""
        return self.entries[number].addresses["http"]

    async def drain(self) -> None:
        """Stop every daemon gracefully."""
        daemons = [*self.entries, *(slot.sidecar for slot in self.slots)]
        for daemon in daemons:
            daemon.begin_drain()
            await daemon.wait_drained()
            await daemon.close()

    async def close(self) -> None:
        """Stop what still runs."""
        for slot in self.slots:
            await slot.endpoint.close()
        for standin in (self.table, self.objects, self.instances):
            await standin.close()

    def record(self, callers: list[CallerOutcome]) -> FleetRecord:
        """Return the record for the invariant rules; taken after `drain`."""
        daemons = [*self.entries, *(slot.sidecar for slot in self.slots)]
        events: list[Event] = []
        for daemon in daemons:
            events += daemon.ring.read_after(0, daemon.ring.last_sequence)
        runs = [
            EndpointRun(
                run["request_id"].rpartition(".")[0],
                slot.service,
                slot.instance,
                run["key"],
                run["started"],
                run["ended"] or None,
                run["tokens"],
                run["completed"],
            )
            for slot in self.slots
            for run in slot.endpoint.runs
        ]
        return FleetRecord(
            merge_events(events), tuple(callers), tuple(runs), tuple(self.documents)
        )

    async def _start_platform(self) -> None:
        table = await self.table.start()
        objects = await self.objects.start()
        instances = await self.instances.start()
        self.platform_addresses = {
            "table_service": f"{HOST}:{table}",
            "object_store": f"{HOST}:{objects}",
            "instance_list": f"{HOST}:{instances}",
        }
        lines = [f'{key} = "{address}"\n' for key, address in self.platform_addresses.items()]
        self._platform = "[platform]\n" + "".join(lines)
        self.table_store = HttpTableStore(_wire(table))
        self._instance_list = HttpInstanceList(_wire(instances))

    async def _accept(self, service: str, text: str) -> None:
        assert self.table_store is not None
        writer = ConfigurationWriter(self.table_store)
        result = await writer.accept(service, text, 0, uuid.uuid4().hex, "local site")
        if not isinstance(result, Accepted):
            raise RuntimeError(f"document of {service} was not accepted: {result}")

    async def _start_slot(self, document: ServiceDocument, number: int) -> None:
        zone = document.zones[number % len(document.zones)]
        instance = f"{document.name}-{number + 1}"
        endpoint: EngineStandin | PlainServiceStandin = PlainServiceStandin()
        if document.kind == "model":
            endpoint = EngineStandin(step_s=self._step_s, models=document.models)
        port = await endpoint.start()
        kind = "engine" if document.kind == "model" else "plain"
        settings = (
            f'role = "sidecar"\ninstance = "{instance}"\nzone = "{zone}"\n{self._platform}'
            f'[endpoint]\nservice = "{document.name}"\nkind = "{kind}"\n'
            f'address = "{HOST}:{port}"\n{self._limits}'
        )
        sidecar = build_daemon(parse_settings(settings))
        await sidecar.start()
        self.slots.append(EndpointSlot(instance, document.name, zone, endpoint, sidecar))
        await self._register(instance, "sidecar", document.name, zone, sidecar)

    async def _start_entry(self, number: int, zone: str) -> None:
        instance = f"entry-{number + 1}"
        settings = (
            f'role = "entry"\ninstance = "{instance}"\nzone = "{zone}"\n'
            f"{self._platform}{self._limits}"
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

    def _ready(self, entry: Daemon) -> bool:
        status = entry.status()
        wanted = sum(min(document.endpoints, self._subset_size) for document in self.documents)
        return len(status["links"]) == wanted and len(status["versions"]) == len(self.documents)


def _wire(port: int) -> StoreTransport:
    return StoreTransport(HttpClient(HOST, port), time.monotonic)
