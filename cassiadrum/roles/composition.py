"""The composition root: wires the parts of a daemon from its settings."""

import random
import secrets
import time

from cassiadrum.decisions import EndpointScheduler, PausePreemption
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EngineEndpoint, PlainEndpoint
from cassiadrum.events import EventRing, HybridClock
from cassiadrum.metrics import RoleMetrics, make_registry
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.entry_daemons import EntryDaemon
from cassiadrum.roles.event_meters import EventMeter
from cassiadrum.roles.sidecar_daemons import SidecarDaemon
from cassiadrum.settings import Address, EndpointSettings, Settings
from cassiadrum.states import ClaimService, ConfigurationReader, ConfigurationRegistry
from cassiadrum.stores import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTableStore,
    HttpWire,
    TableStore,
)

__all__ = ["build_daemon"]


def build_daemon(cfg: Settings) -> Daemon:
    """Return the daemon of the role that the settings name, not started yet."""
    clock = HybridClock(time.time)
    ring = EventRing(clock, cfg.instance, cfg.role, secrets.token_hex(4))
    metrics = RoleMetrics(time.monotonic, make_registry())
    table = HttpTableStore(_wire(cfg.platform.table_service, metrics, "table"))
    registry = ConfigurationRegistry()
    reader = ConfigurationReader(table, registry)
    configurations = ConfigurationAgent(registry, reader, ring, _rng())
    ring.listener = EventMeter(metrics, registry.document, time.monotonic)
    if cfg.endpoint is None:
        return _build_entry(cfg, ring, configurations, metrics)
    return _build_sidecar(cfg, cfg.endpoint, ring, configurations, table, metrics)


def _build_entry(
    cfg: Settings, ring: EventRing, configurations: ConfigurationAgent, metrics: RoleMetrics
) -> EntryDaemon:
    dispatchers = DispatcherFactory(
        configurations.document,
        zone=cfg.zone,
        queue_requests=cfg.limits.queue_requests,
        rng=_rng(),
    )
    instances = HttpInstanceList(_wire(cfg.platform.instance_list, metrics, "instances"))
    return EntryDaemon(cfg, ring, configurations, instances, dispatchers, metrics)


def _build_sidecar(
    cfg: Settings,
    endpoint: EndpointSettings,
    ring: EventRing,
    configurations: ConfigurationAgent,
    table: TableStore,
    metrics: RoleMetrics,
) -> SidecarDaemon:
    limit = cfg.limits.concurrency
    preemption = PausePreemption(()) if endpoint.kind == "engine" else None
    scheduler = EndpointScheduler(limit, limit * LIMITS.SIDECAR_QUEUE_PER_SLOT, preemption)
    object_store = cfg.platform.object_store or cfg.platform.table_service
    objects = HttpObjectStore(_wire(object_store, metrics, "objects"))
    claims = ClaimService(table, objects, cfg.instance)
    return SidecarDaemon(
        cfg, ring, configurations, _build_endpoint(endpoint), scheduler, claims, metrics
    )


def _build_endpoint(endpoint: EndpointSettings) -> Endpoint:
    kind = EngineEndpoint if endpoint.kind == "engine" else PlainEndpoint
    return kind(endpoint.address.host, endpoint.address.port)


def _wire(address: Address, metrics: RoleMetrics, store: str) -> HttpWire:
    client = HttpClient(address.host, address.port)
    return HttpWire(
        client, time.monotonic, called=lambda result: metrics.store_called(store, result)
    )


def _rng() -> random.Random:
    return random.Random(secrets.randbits(64))
