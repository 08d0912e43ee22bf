"""The composition root, which builds a daemon from its settings."""

import random
import secrets
import time
from pathlib import Path

from cassiadrum.endpoints import Endpoint, EngineEndpoint, PlainEndpoint
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links import TlsContexts
from cassiadrum.metrics import RoleMetrics, make_registry
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.budget_shares import BudgetShare
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.entry_daemons import EntryDaemon
from cassiadrum.roles.event_meters import EventMeter
from cassiadrum.roles.instance_list_pollers import InstanceListPoller
from cassiadrum.roles.maintenance_factories import MaintenanceFactory
from cassiadrum.roles.order_executors import OrderExecutor
from cassiadrum.roles.scheduler_factories import SchedulerFactory
from cassiadrum.roles.sidecar_daemons import SidecarDaemon
from cassiadrum.settings import Address, EndpointSettings, Settings
from cassiadrum.states import (
    ClaimService,
    ConfigurationReader,
    ConfigurationRegistry,
    ConfigurationWriter,
    FencingGuard,
)
from cassiadrum.stores import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableStore,
    HttpWeightStore,
    StoreBudget,
    StoreTransport,
)

__all__ = ["build_daemon"]


def build_daemon(cfg: Settings) -> Daemon:
    """Return the daemon for the role in the settings, not started yet."""
    composition = _Composition(cfg)
    if cfg.endpoint is None:
        return composition.entry()
    return composition.sidecar(cfg.endpoint)


class _Composition:
    """The components that both roles share, and the daemon of one role."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._store_clients: list[HttpClient] = []
        self._rng = random.Random(secrets.randbits(64))
        clock = HybridLogicalClock(time.time)
        self._ring = EventRing(clock, cfg.instance, cfg.role, secrets.token_hex(4))
        self._metrics = RoleMetrics(time.monotonic, make_registry())
        registry = ConfigurationRegistry()
        service = cfg.endpoint.service if cfg.endpoint else ""
        self._budget_share = BudgetShare(service, registry.document)
        self._table = HttpTableStore(
            self._make_transport(cfg.platform.table_service, "table", self._budget_share.budget)
        )
        reader = ConfigurationReader(self._table, registry)
        self._instances = InstanceListPoller(
            HttpInstanceList(self._make_transport(cfg.platform.instance_list, "instances"))
        )
        self._instances.listeners.append(self._budget_share.update_instances)
        self._configurations = ConfigurationAgent(
            registry, reader, self._ring, self._rng, process_count=self._instances.process_count
        )
        self._ring.listener = EventMeter(self._metrics, registry.document, time.monotonic)

    def entry(self) -> EntryDaemon:
        """Return the daemon of an entry instance."""
        dispatchers = DispatcherFactory(
            self._configurations.document,
            zone=self._cfg.zone,
            queue_requests=self._cfg.limits.queue_requests,
            rng=self._rng,
        )
        maintenance = MaintenanceFactory(
            self._cfg.instance,
            self._table,
            self._make_object_store(),
            self._make_weight_store(),
            self._configurations.document,
            self._ring,
        )
        daemon = EntryDaemon(
            self._cfg,
            self._ring,
            self._configurations,
            self._instances,
            dispatchers,
            maintenance,
            ConfigurationWriter(self._table),
            self._metrics,
            _make_tls_contexts(self._cfg),
        )
        daemon.store_clients = self._store_clients
        return daemon

    def sidecar(self, endpoint: EndpointSettings) -> SidecarDaemon:
        """Return the daemon of a sidecar for an endpoint."""
        target = _build_endpoint(endpoint)
        schedulers = SchedulerFactory(
            self._configurations.document,
            max_concurrency=self._cfg.limits.concurrency,
            can_pause=target.can_pause,
        )
        self._configurations.on_applied = lambda service: (
            schedulers.configure(service) if service == endpoint.service else None
        )
        guard = FencingGuard(self._table, endpoint_enforces=endpoint.enforces_fencing)
        daemon = SidecarDaemon(
            self._cfg,
            self._ring,
            self._configurations,
            self._instances,
            target,
            schedulers.build(),
            ClaimService(self._table, self._make_object_store(), self._cfg.instance),
            OrderExecutor(target, guard, self._ring),
            self._metrics,
            _make_tls_contexts(self._cfg),
        )
        daemon.store_clients = self._store_clients
        return daemon

    def _make_object_store(self) -> HttpObjectStore:
        platform = self._cfg.platform
        address = platform.object_store or platform.table_service
        return HttpObjectStore(self._make_transport(address, "objects", self._budget_share.budget))

    def _make_weight_store(self) -> HttpWeightStore | None:
        address = self._cfg.platform.weight_store
        return HttpWeightStore(self._make_transport(address, "weights")) if address else None

    def _make_transport(
        self, address: Address, store: str, budget: StoreBudget | None = None
    ) -> StoreTransport:
        client = HttpClient(address.host, address.port)
        self._store_clients.append(client)
        return StoreTransport(
            client,
            time.monotonic,
            budget=budget,
            on_result=lambda result: self._metrics.count_store_call(store, result),
        )


def _build_endpoint(endpoint: EndpointSettings) -> Endpoint:
    kind = EngineEndpoint if endpoint.kind == "engine" else PlainEndpoint
    return kind(endpoint.address.host, endpoint.address.port)


def _make_tls_contexts(cfg: Settings) -> TlsContexts | None:
    if not cfg.tls.certificate:
        return None
    return TlsContexts(Path(cfg.tls.certificate), Path(cfg.tls.key), Path(cfg.tls.ca))
