"""The composition root: wires the parts of a daemon from its settings."""

import random
import secrets
import time
from pathlib import Path

from cassiadrum.decisions import EndpointScheduler, PausePreemption
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EngineEndpoint, PlainEndpoint
from cassiadrum.events import EventRing, HybridClock
from cassiadrum.links import TlsContexts
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.dispatcher_factories import DispatcherFactory
from cassiadrum.roles.entry_daemons import EntryDaemon
from cassiadrum.roles.instance_watches import InstanceWatch
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
    instances = InstanceWatch(HttpInstanceList(_wire(cfg.platform.instance_list)))
    configurations = ConfigurationAgent(
        registry, reader, ring, _rng(), processes=instances.processes
    )
    if cfg.endpoint is None:
        return _build_entry(cfg, ring, configurations, instances)
    return _build_sidecar(cfg, cfg.endpoint, ring, configurations, instances, table)


def _build_entry(
    cfg: Settings, ring: EventRing, configurations: ConfigurationAgent, instances: InstanceWatch
) -> EntryDaemon:
    dispatchers = DispatcherFactory(
        configurations.document,
        zone=cfg.zone,
        queue_requests=cfg.limits.queue_requests,
        rng=_rng(),
    )
    return EntryDaemon(cfg, ring, configurations, instances, dispatchers, _tls(cfg))


def _build_sidecar(
    cfg: Settings,
    endpoint: EndpointSettings,
    ring: EventRing,
    configurations: ConfigurationAgent,
    instances: InstanceWatch,
    table: TableStore,
) -> SidecarDaemon:
    limit = cfg.limits.concurrency
    preemption = PausePreemption(()) if endpoint.kind == "engine" else None
    scheduler = EndpointScheduler(limit, limit * LIMITS.SIDECAR_QUEUE_PER_SLOT, preemption)
    objects = HttpObjectStore(_wire(cfg.platform.object_store or cfg.platform.table_service))
    claims = ClaimService(table, objects, cfg.instance)
    return SidecarDaemon(
        cfg,
        ring,
        configurations,
        instances,
        _build_endpoint(endpoint),
        scheduler,
        claims,
        _tls(cfg),
    )


def _tls(cfg: Settings) -> TlsContexts | None:
    if not cfg.tls.certificate:
        return None
    return TlsContexts(Path(cfg.tls.certificate), Path(cfg.tls.key), Path(cfg.tls.ca))


def _build_endpoint(endpoint: EndpointSettings) -> Endpoint:
    kind = EngineEndpoint if endpoint.kind == "engine" else PlainEndpoint
    return kind(endpoint.address.host, endpoint.address.port)


def _wire(address: Address) -> HttpWire:
    return HttpWire(HttpClient(address.host, address.port), time.monotonic)


def _rng() -> random.Random:
    return random.Random(secrets.randbits(64))
