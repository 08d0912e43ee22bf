"""Decoding of the store rows that the operator and the endpoints write."""

from typing import Final

import msgspec

from cassiadrum.gateways import (
    Access,
    CallKind,
    Catalog,
    Customer,
    EndpointEntry,
    KeyedAccess,
    OpenAccess,
    RequestLimits,
    Route,
    ServiceSettings,
    Share,
)
from cassiadrum.platform.errors import BadRecord
from cassiadrum.settings.addresses import Address

__all__ = ["decode_catalog", "decode_entry"]

CALL_KINDS: Final = {
    "non_idempotent": CallKind.ONCE,
    "idempotent": CallKind.IDEMPOTENT,
    "stream": CallKind.STREAM,
}
READY: Final = "ready"
DRAINING: Final = "draining"
DEFAULT_PRIORITY: Final = 5
MAX_PORT: Final = 65_535
# Errors of decoding; a deeply nested document raises RecursionError.
DECODE_ERRORS: Final = (msgspec.MsgspecError, ValueError, RecursionError)


class _ShareWire(msgspec.Struct):
    service: str
    weight: float


class _RouteWire(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # Latency target; 0 means `timeout_ms`.
    goal_ms: float = 0.0
    priority: int = DEFAULT_PRIORITY
    service: str = ""
    # Weighted services; replaces `service` if not empty.
    split: list[_ShareWire] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _EngineWire(msgspec.Struct):
    kv_capacity_tokens: int = 0


class _ServiceWire(msgspec.Struct):
    name: str
    max_conns: int = 64
    engine: _EngineWire | None = None


class _LimitsWire(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _CustomerWire(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _CatalogWire(msgspec.Struct):
    version: int
    routes: list[_RouteWire]
    services: list[_ServiceWire]
    limits: _LimitsWire = msgspec.field(default_factory=_LimitsWire)
    # Absent if requests need no key; an empty list admits nobody.
    tenants: list[_CustomerWire] | msgspec.UnsetType = msgspec.UNSET


class _EntryWire(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_left_ms: float = 0.0
    # Start of the endpoint in milliseconds since 1970.
    born: int = 0


def decode_catalog(data: bytes) -> Catalog:
    """Decode the operator's configuration; raise BadRecord if it is invalid."""
    try:
        wire = msgspec.json.decode(data, type=_CatalogWire)
        routes = [_route(route) for route in wire.routes]
    except (*DECODE_ERRORS, KeyError) as exc:
        raise BadRecord(f"configuration: {exc}") from exc
    limits = RequestLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms / 1000,
        wire.limits.idle_timeout_ms / 1000,
    )
    services = [
        ServiceSettings(
            service.name,
            service.max_conns,
            service.engine.kv_capacity_tokens if service.engine else None,
        )
        for service in wire.services
    ]
    return Catalog(wire.version, routes, services, _access(wire.tenants), limits)


def decode_entry(instance: str, data: bytes) -> EndpointEntry:
    """Decode an endpoint's registration; raise BadRecord if it is invalid."""
    try:
        wire = msgspec.json.decode(data, type=_EntryWire)
        address = Address.parse(wire.address)
    except DECODE_ERRORS as exc:
        raise BadRecord(f"endpoint {instance}: {exc}") from exc
    if wire.state not in (READY, DRAINING):
        raise BadRecord(f"endpoint {instance}: unknown state {wire.state!r}")
    if wire.slots < 1 or not address.host or not 0 < address.port <= MAX_PORT:
        raise BadRecord(f"endpoint {instance}: needs at least 1 slot and a valid address")
    return EndpointEntry(
        instance=instance,
        service=wire.service,
        address=address,
        zone=wire.zone,
        slots=wire.slots,
        leaving=wire.state == DRAINING,
        started_ms=wire.born,
        cold_s=max(0.0, wire.cold_left_ms / 1000),
    )


def _access(wire: list[_CustomerWire] | msgspec.UnsetType) -> Access:
    if isinstance(wire, msgspec.UnsetType):
        return OpenAccess()
    return KeyedAccess(
        {
            key: Customer(customer.name, customer.priority)
            for customer in wire
            for key in customer.api_keys
        }
    )


def _route(wire: _RouteWire) -> Route:
    shares = tuple(Share(share.service, share.weight) for share in wire.split)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=CALL_KINDS[wire.kind],
        timeout_s=wire.timeout_ms / 1000,
        target_s=(wire.goal_ms or wire.timeout_ms) / 1000,
        priority=wire.priority,
        shares=shares or (Share(wire.service, 1.0),),
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        gap_s=wire.gap_target_ms / 1000,
    )
