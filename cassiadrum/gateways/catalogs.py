"""The configuration in force: which request goes to which service, for whom and within what."""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

import xxhash

__all__ = [
    "CallKind",
    "Catalog",
    "Customer",
    "RequestLimits",
    "Route",
    "ServiceSettings",
    "Share",
    "choose_service",
]


class CallKind(Enum):
    """Tell what may be repeated."""

    ONCE = "once"
    IDEMPOTENT = "idempotent"
    STREAM = "stream"


class Share(NamedTuple):
    """Give a service its weight within a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe the requests of one host and path prefix; the lowest priority is the first."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    public: bool
    resumable: bool
    # The longest pause between events of a stream that is still on time.
    gap_s: float

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class Customer(NamedTuple):
    """Name the holder of a key; `priority` goes before the routes' unless it is None."""

    name: str
    priority: int | None


class ServiceSettings(NamedTuple):
    """Describe a service; `cache_tokens` is None for services that are not model engines."""

    name: str
    max_connections: int
    cache_tokens: int | None


class RequestLimits(NamedTuple):
    """Bound what callers may send and how long they may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class MoreUrgentStreams(NamedTuple):
    """Count the more urgent classes of streams and state the shortest pause allowed to them."""

    classes: int
    gap_s: float


class Catalog:
    """Hold one version of the configuration.

    With `keyed`, requests of routes that are not public need a key.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSettings],
        customers_by_key: Mapping[str, Customer],
        limits: RequestLimits,
        *,
        requires_keys: bool,
    ) -> None:
        self.version = version
        self.requires_keys = requires_keys
        self.limits = limits
        self.services = {plan.name: plan for plan in services}
        self._customers = dict(customers_by_key)
        self._routes: dict[str, list[Route]] = {}
        # Priority and longest pause of the streams of each service.
        self._stream_classes: dict[str, set[tuple[int, float]]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
            if route.gap_s > 0.0:
                for share in route.shares:
                    self._stream_classes.setdefault(share.service, set()).add(
                        (route.priority, route.gap_s)
                    )
        for found in self._routes.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        routes = self._routes.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def more_urgent(self, service: str, priority: int) -> "MoreUrgentStreams":
        """Return what a request of a service has to leave on time."""
        found = [
            (other, gap_s)
            for other, gap_s in self._stream_classes.get(service, ())
            if other < priority
        ]
        gaps = [gap_s for _, gap_s in found]
        return MoreUrgentStreams(
            len({other for other, _ in found}), min(gaps, default=float("inf"))
        )

    def has_less_urgent(self, service: str, priority: int) -> bool:
        """Return whether the service has streams that are less urgent than the given priority."""
        return any(other > priority for other, _ in self._stream_classes.get(service, ()))

    def customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._customers.get(key)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request; the choice is the same for each of its attempts."""
    if len(route.shares) == 1:
        return route.shares[0].service
    point = (
        xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * sum(s.weight for s in route.shares)
    )
    for share in route.shares:
        point -= share.weight
        if point < 0.0:
            return share.service
    return route.shares[-1].service
