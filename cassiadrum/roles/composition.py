"""The composition root: wires the parts of a daemon from its settings."""

import secrets
import time

from cassiadrum.decisions import (
    Dispatcher,
    EndpointScheduler,
    LeastOutstandingChooser,
    StrictTierQueue,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EngineEndpoint, PlainEndpoint
from cassiadrum.events import EventRing, HybridClock
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.document_caches import DocumentCache
from cassiadrum.roles.entry_daemons import EntryDaemon
from cassiadrum.roles.sidecar_daemons import SidecarDaemon
from cassiadrum.settings import Address, EndpointSettings, Settings
from cassiadrum.stores import HttpInstanceList, HttpTableStore, HttpWire

__all__ = ["build_daemon"]


def build_daemon(cfg: Settings) -> Daemon:
    """Return the daemon of the role that the settings name, not started yet."""
    clock = HybridClock(time.time)
    ring = EventRing(clock, cfg.instance, cfg.role, secrets.token_hex(4))
    documents = DocumentCache(HttpTableStore(_wire(cfg.platform.table_service)), ring)
    if cfg.endpoint is None:
        return _build_entry(cfg, ring, documents)
    return _build_sidecar(cfg, cfg.endpoint, ring, documents)


def _build_entry(cfg: Settings, ring: EventRing, documents: DocumentCache) -> EntryDaemon:
    def make_dispatcher(service: str) -> Dispatcher:
        queue = StrictTierQueue(cfg.limits.queue_requests)
        return Dispatcher(queue, LeastOutstandingChooser())

    instances = HttpInstanceList(_wire(cfg.platform.instance_list))
    return EntryDaemon(cfg, ring, documents, instances, make_dispatcher)


def _build_sidecar(
    cfg: Settings, endpoint: EndpointSettings, ring: EventRing, documents: DocumentCache
) -> SidecarDaemon:
    limit = cfg.limits.concurrency
    scheduler = EndpointScheduler(limit, limit * LIMITS.SIDECAR_QUEUE_PER_SLOT)
    return SidecarDaemon(cfg, ring, documents, _build_endpoint(endpoint), scheduler)


def _build_endpoint(endpoint: EndpointSettings) -> Endpoint:
    kind = EngineEndpoint if endpoint.kind == "engine" else PlainEndpoint
    return kind(endpoint.address.host, endpoint.address.port)


def _wire(address: Address) -> HttpWire:
    return HttpWire(HttpClient(address.host, address.port), time.monotonic)
