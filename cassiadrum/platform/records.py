"""Decoding of the store rows that the operator and the endpoints write."""

import logging
import re
from typing import Annotated, Final

import msgspec
from msgspec import Meta

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
from cassiadrum.platform.errors import DECODE_ERRORS, BadRecord
from cassiadrum.settings.addresses import Address

__all__ = ["decode_catalog", "decode_entry"]

logger = logging.getLogger(__name__)

CALL_KINDS: Final = {
    "non_idempotent": CallKind.ONCE,
    "idempotent": CallKind.IDEMPOTENT,
    "stream": CallKind.STREAM,
}
READY: Final = "ready"
DRAINING: Final = "draining"
DEFAULT_PRIORITY: Final = 5
# Larger numbers overflow in conversions, or in the encoding of rows that repeat them.
MAX_INTEGER: Final = 2**63 - 1
MAX_SLOTS: Final = 1_000_000
MAX_COLD_MS: Final = 1e9
MAX_VERSION_CHARACTERS: Final = 200
# Visible ASCII characters: the id of an instance is sent in a header.
INSTANCE: Final = re.compile(r"[!-~]{1,200}")
# Texts of other writers may fill a whole row.
MAX_LOGGED_CHARACTERS: Final = 40
# Without control characters, and no space at the ends.
HEADER_TEXT: Final = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


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
    priority: Integer = DEFAULT_PRIORITY
    service: str = ""
    # Weighted services; replaces `service` if not empty.
    split: list[_ShareWire] = []
    max_attempts: Integer = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _EngineWire(msgspec.Struct):
    kv_capacity_tokens: Integer = 0


class _ServiceWire(msgspec.Struct):
    name: str
    max_conns: Integer = 64
    engine: _EngineWire | None = None


class _LimitsWire(msgspec.Struct):
    max_header_bytes: Integer = 16384
    max_body_bytes: Integer = 1048576
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _CustomerWire(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None


class _CatalogWire(msgspec.Struct):
    version: Integer
    routes: list[_RouteWire]
    services: list[_ServiceWire]
    limits: _LimitsWire = msgspec.field(default_factory=_LimitsWire)
    # Absent if requests need no key; an empty list admits nobody.
    tenants: list[_CustomerWire] | msgspec.UnsetType = msgspec.UNSET


class _EntryWire(msgspec.Struct):
    service: Annotated[str, Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # Version of the endpoint's software, not of a model's weights.
    version: Annotated[str, Meta(max_length=MAX_VERSION_CHARACTERS)] = ""
    cold_left_ms: Annotated[float, Meta(le=MAX_COLD_MS)] = 0.0
    # Start of the endpoint in milliseconds since 1970.
    born: Annotated[int, Meta(ge=0, le=MAX_INTEGER)] = 0


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
    """Decode an endpoint's registration; raise BadRecord if it names no endpoint to use.

    Any process may write such a row, so everything that is used later is checked here.
    """
    if INSTANCE.fullmatch(instance) is None:
        raise BadRecord(f"endpoint {instance!r}: the id is not visible ASCII text")
    try:
        wire = msgspec.json.decode(data, type=_EntryWire)
        address = Address.parse_peer(wire.address)
    except DECODE_ERRORS as exc:
        raise BadRecord(f"endpoint {instance}: {exc}") from exc
    if wire.state not in (READY, DRAINING):
        raise BadRecord(
            f"endpoint {instance}: unknown state {wire.state[:MAX_LOGGED_CHARACTERS]!r}"
        )
    return EndpointEntry(
        instance=instance,
        service=wire.service,
        address=address,
        zone=wire.zone,
        slots=wire.slots,
        leaving=wire.state == DRAINING,
        started_ms=wire.born,
        cold_s=max(0.0, wire.cold_left_ms / 1000),
        version=wire.version,
    )


def _access(wire: list[_CustomerWire] | msgspec.UnsetType) -> Access:
    if isinstance(wire, msgspec.UnsetType):
        return OpenAccess()
    customers_by_key = {}
    for customer in wire:
        if HEADER_TEXT.fullmatch(customer.name) is None:
            # Its name cannot be sent to endpoints; the other customers are not affected.
            name = customer.name[:MAX_LOGGED_CHARACTERS]
            logger.error("customer %r rejected: the name is not a header value", name)
            continue
        for key in customer.api_keys:
            customers_by_key[key] = Customer(customer.name, customer.priority)
    return KeyedAccess(customers_by_key)


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
