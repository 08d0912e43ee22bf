"""A site of daemon processes on loopback."""

import asyncio
import contextlib
import json
import re
import time
import uuid
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any

from cassiadrum.documents import ServiceDocument, parse_document
from cassiadrum.events import Event, EventKind, EventRing, HybridLogicalClock, merge_events
from cassiadrum.invariants import CallerOutcome, EndpointRun, FleetRecord, Outage
from cassiadrum.loads import LoadPlan, LoadSender
from cassiadrum.tests.harness.callers import call
from cassiadrum.tests.harness.child_processes import ChildProcess
from cassiadrum.tests.harness.event_collectors import EventCollector
from cassiadrum.tests.harness.fault_proxies import FaultProxy
from cassiadrum.tests.harness.platforms import EndpointStandin, Platform, build_endpoint
from cassiadrum.tests.harness.waits import until

__all__ = ["ProcessSite"]

EXAMPLES = Path(__file__).parents[3] / "examples"


class ProcessSite:
    """Run entry instances and sidecars as processes, and stand-ins in the process of the test.

    `hops` names the hops that get a proxy: `http` (caller to entry instance), `link` (entry
    instance to sidecar), `endpoint` (sidecar to endpoint) and `table` (daemon to table service).
    `proxies` maps `HOP:INSTANCE` to the proxy. `edits` are regular expressions with replacements,
    applied to the documents; `limits` is the content of the `[limits]` table of the settings;
    `step_s` is the duration of an engine step in seconds.
    """

    def __init__(
        self,
        directory: Path,
        *,
        services: tuple[str, ...] = ("sprachdienst", "permit-register"),
        endpoints: int = 2,
        entries: int = 2,
        hops: tuple[str, ...] = (),
        step_s: float = 0.004,
        limits: str = "",
        edits: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.texts = {name: document_text(name, endpoints, edits) for name in services}
        self.documents: list[ServiceDocument] = [parse_document(t) for t in self.texts.values()]
        self.platform = Platform()
        self.children: dict[str, ChildProcess] = {}
        self.endpoints: dict[str, EndpointStandin] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.killed: set[str] = set()
        self.outages: list[Outage] = []
        self.collectors: dict[str, list[EventCollector]] = {}
        self.operator = EventRing(
            HybridLogicalClock(time.time), "operator", "operator", uuid.uuid4().hex
        )
        self._locks: dict[str, asyncio.Lock] = {}
        self._services: dict[str, str] = {}
        self._zones: dict[str, str] = {}
        self._directory = directory
        self._entry_count = entries
        self._hops = hops
        self._step_s = step_s
        self._limits = limits

    async def start(self) -> None:
        """Start all processes and wait until each entry instance reaches each service."""
        await self.platform.start()
        for document in self.documents:
            result = await self.platform.accept(document.name, self.texts[document.name], 0)
            self.note_accepted(document.name, result.version, result.current.operation_id)
        slots = [(doc, number) for doc in self.documents for number in range(doc.endpoints)]
        await asyncio.gather(
            *(self._start_sidecar(document, number) for document, number in slots)
        )
        zones = [zone for document in self.documents for zone in document.zones]
        numbers = range(self._entry_count)
        names = [f"entry-{number + 1}" for number in numbers]
        for name, zone in zip(names, zones, strict=False):
            self._zones[name], self._services[name] = zone, ""
        await asyncio.gather(*(self.launch(name) for name in names))
        await until(self.all_linked, "a link to each sidecar at each entry instance")

    async def close(self) -> None:
        """Kill all processes and stop all proxies and stand-ins."""
        await asyncio.gather(*(child.kill() for child in self.children.values()))
        for collectors in self.collectors.values():
            for collector in collectors:
                await collector.close()
        for part in (*self.proxies.values(), *self.endpoints.values()):
            await part.close()
        await self.platform.close()

    # Names.

    @property
    def entries(self) -> list[str]:
        """Return the names of the entry instances."""
        return [name for name, service in self._services.items() if not service]

    def sidecars(self, service: str = "") -> list[str]:
        """Return the names of the sidecars, optionally those of one service."""
        return [
            name
            for name, of in self._services.items()
            if of and service in ("", of) and name in self.children
        ]

    def zone(self, name: str) -> str:
        """Return the zone of an instance."""
        return self._zones[name]

    def http(self, entry: str = "entry-1") -> str:
        """Return the address for callers: that of the proxy if there is one."""
        proxy = self.proxies.get(f"http:{entry}")
        return proxy.address if proxy else str(self.children[entry].ready["http"])

    # Processes.

    async def launch(self, name: str) -> None:
        """Start or restart the process of an instance and register it."""
        path = self._directory / f"{name}.toml"
        path.write_text(await self._settings(name))
        child = await ChildProcess.start(
            "cassiadrum.daemon", ["--settings", str(path)], self._directory / f"{name}.log"
        )
        self.children[name] = child
        ready = child.ready
        self.collectors.setdefault(name, []).append(EventCollector(ready["admin"]))
        if "http" in ready:
            await self._address_via_proxy("http", name, ready["http"])
        link = ready.get("link", "")
        address = await self._address_via_proxy("link", name, link) if link else ""
        await self.platform.register(
            name, self._services[name], self._zones[name], address, ready["admin"]
        )

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and record that it was killed."""
        self.killed.add(name)
        await self.children[name].kill()

    async def stop(self, name: str) -> None:
        """Stop a process with SIGTERM and require that it exits with code 0."""
        child = self.children[name]
        child.terminate()
        code = await child.wait()
        assert code == 0, f"{name} exited with {code}: {child.log.read_text()[-2000:]}"
        await self.platform.deregister(name)
        with contextlib.suppress(AssertionError):
            await until(lambda: self.collectors[name][-1].stopped, "the last event", 2.0)

    async def replace(self, name: str, new_name: str) -> None:
        """Start an instance with the same service and zone, then stop the old one."""
        self._zones[new_name], self._services[new_name] = self._zones[name], self._services[name]
        if name in self.endpoints:
            self.endpoints[new_name] = await self._start_endpoint(self._services[name])
        await self.launch(new_name)
        await until(self.all_linked, f"links of {new_name}")
        await self.stop(name)
        del self._services[name]

    async def finish(self, outcomes: list[CallerOutcome]) -> FleetRecord:
        """Stop all running processes, entry instances first, and return the record of the run."""
        for names in (self.entries, self.sidecars()):
            running = [name for name in names if self.children[name].running]
            await asyncio.gather(*(self.stop(name) for name in running))
        return FleetRecord(
            merge_events(self.events()),
            tuple(outcomes),
            tuple(self._endpoint_runs()),
            tuple(self.documents),
            frozenset(self.killed),
            tuple(self.outages),
        )

    # Events and states of the processes.

    def events(self, kind: EventKind | None = None, instance: str = "") -> list[Event]:
        """Return the events read so far, optionally of one kind or instance."""
        every = [
            event
            for collectors in self.collectors.values()
            for collector in collectors
            for event in collector.events
        ]
        every += self.operator.read_after(0, len(self.operator))
        return [e for e in every if kind in (None, e.kind) and instance in ("", e.instance)]

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status from the admin interface."""
        return (await call(self.children[name].ready["admin"], "GET", "/admin/status")).json

    async def all_linked(self) -> bool:
        """Return whether all running entry instances have all links and all documents."""
        sidecars = {name for name in self.sidecars() if self.children[name].running}
        for name in self.entries:
            if not self.children[name].running:
                continue
            status = await self.status(name)
            if not sidecars <= set(status["links"]) or len(status["versions"]) < len(self.texts):
                return False
        return True

    def note_accepted(self, service: str, version: int, operation_id: str) -> None:
        """Record the event that a configuration was accepted."""
        self.operator.record(
            EventKind.CONFIGURATION_ACCEPTED,
            service=service,
            version=version,
            operation_id=operation_id,
        )

    @contextlib.asynccontextmanager
    async def load(
        self, rate_per_s: float = 25.0, duration_s: float = 2.0, seed: int = 1
    ) -> AsyncIterator[LoadSender]:
        """Send a mixed load to the entry instances, without proxies, and wait for its end."""
        addresses = [str(self.children[name].ready["http"]) for name in self.entries]
        sender = LoadSender(addresses, self.documents, seed)
        plan = LoadPlan.uniform_mix(self.documents, rate_per_s, duration_s, seed)
        task = asyncio.create_task(sender.run(plan))
        try:
            await until(lambda: len(sender.outcomes) > 3, "the first answers of the load")
            yield sender
            await task
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    @contextlib.contextmanager
    def outage(self, instance: str = "") -> Iterator[None]:
        """Record that an instance, or each one, may not reach its peers during the block."""
        since_s = time.time()
        try:
            yield
        finally:
            self.outages.append(Outage(instance, since_s, time.time()))

    def restart_lock(self, name: str) -> asyncio.Lock:
        """Return the lock to hold while a process is stopped and started again."""
        return self._locks.setdefault(name, asyncio.Lock())

    def _endpoint_runs(self) -> list[EndpointRun]:
        return [
            EndpointRun(
                run["request_id"].rpartition(".")[0],
                self._service_of(name),
                name,
                run["key"],
                run["started"],
                run["ended"] or None,
                run["tokens"],
                run["completed"],
            )
            for name, endpoint in self.endpoints.items()
            for run in endpoint.runs
        ]

    def _service_of(self, name: str) -> str:
        return next(service for service in self.texts if name.startswith(service))

    # Construction.

    async def _start_sidecar(self, document: ServiceDocument, number: int) -> None:
        name = f"{document.name}-{number + 1}"
        self._zones[name] = document.zones[number % len(document.zones)]
        self._services[name] = document.name
        self.endpoints[name] = await self._start_endpoint(document.name)
        await self.launch(name)

    async def _start_endpoint(self, service: str) -> EndpointStandin:
        document = next(doc for doc in self.documents if doc.name == service)
        endpoint = build_endpoint(document, self._step_s)
        endpoint.address = f"127.0.0.1:{await endpoint.start()}"
        return endpoint

    async def _address_via_proxy(self, hop: str, name: str, address: str) -> str:
        """Return the address of the proxy of a hop, or `address` if the hop has none."""
        if hop not in self._hops:
            return address
        key = f"{hop}:{name}"
        if key in self.proxies:
            self.proxies[key].target = address
        else:
            self.proxies[key] = FaultProxy(address)
            await self.proxies[key].start()
        return self.proxies[key].address

    async def _settings(self, name: str) -> str:
        service = self._services[name]
        table = await self._address_via_proxy("table", name, self.platform.table_address)
        parts = [
            f'role = "{"sidecar" if service else "entry"}"',
            f'instance = "{name}"\nzone = "{self._zones[name]}"',
            f'[platform]\ntable_service = "{table}"',
            f'object_store = "{self.platform.object_address}"',
            f'instance_list = "{self.platform.list_address}"',
        ]
        if self._limits:
            parts.append(f"[limits]\n{self._limits}")
        if service:
            kind = next(doc.kind for doc in self.documents if doc.name == service)
            address = await self._address_via_proxy("endpoint", name, self.endpoints[name].address)
            parts += [
                f'[endpoint]\nservice = "{service}"',
                f'kind = "{"engine" if kind == "model" else "plain"}"',
                f"address = {json.dumps(address)}",
            ]
        return "\n".join(parts) + "\n"


def document_text(name: str, endpoints: int, edits: tuple[tuple[str, str], ...]) -> str:
    """Return the document of an example with a new number of endpoints and further edits."""
    text = (EXAMPLES / f"{name}.toml").read_text()
    for old, new in ((r"endpoints = \d+", f"endpoints = {endpoints}"), *edits):
        text = re.sub(old, new, text)
    return text
