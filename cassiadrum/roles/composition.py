"""The composition root: wires the parts of a daemon from its settings."""

import random
import secrets
import time

from cassiadrum.endpoints import Endpoint, EngineEndpoint, PlainEndpoint
from cassiadrum.events import EventRing, HybridClock
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.entry_daemons import EntryDaemon
from cassiadrum.roles.scheduler_factories import SchedulerFactory
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
    table = HttpTableStore(_wire(cfg.platform.table_service))
    registry = ConfigurationRegistry()
    reader = ConfigurationReader(table, registry)
    configurations = ConfigurationAgent(registry, reader, ring, _rng())
    if cfg.endpoint is None:
        return _build_entry(cfg, ring, configurations)
    return _build_sidecar(cfg, cfg.endpoint, ring, configurations, table)


def _build_entry(
    cfg: Settings, ring: EventRing, configurations: ConfigurationAgent
) -> EntryDaemon:
    dispatchers = DispatcherFactory(
        configurations.document,
        zone=cfg.zone,
        queue_requests=cfg.limits.queue_requests,
        rng=_rng(),
    )
    instances = HttpInstanceList(_wire(cfg.platform.instance_list))
    return EntryDaemon(cfg, ring, configurations, instances, dispatchers)


def _build_sidecar(
    cfg: Settings,
    endpoint: EndpointSettings,
    ring: EventRing,
    configurations: ConfigurationAgent,
    table: TableStore,
) -> SidecarDaemon:
    target = _build_endpoint(endpoint)
    schedulers = SchedulerFactory(
        configurations.document, maximum=cfg.limits.concurrency, can_pause=target.can_pause
    )
    configurations.on_applied = lambda service: (
        schedulers.configure(service) if service == endpoint.service else None
    )
    objects = HttpObjectStore(_wire(cfg.platform.object_store or cfg.platform.table_service))
    claims = ClaimService(table, objects, cfg.instance)
    return SidecarDaemon(cfg, ring, configurations, target, schedulers.build(), claims)


def _build_endpoint(endpoint: EndpointSettings) -> Endpoint:
    kind = EngineEndpoint if endpoint.kind == "engine" else PlainEndpoint
    return kind(endpoint.address.host, endpoint.address.port)


def _wire(address: Address) -> HttpWire:
    return HttpWire(HttpClient(address.host, address.port), time.monotonic)


def _rng() -> random.Random:
    return random.Random(secrets.randbits(64))
