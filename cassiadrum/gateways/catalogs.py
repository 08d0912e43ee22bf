"""The configuration in force: routes, services, customers and request limits."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import xxhash

from cassiadrum.gateways.access import Access

__all__ = [
    "CallKind",
    "Catalog",
    "RequestLimits",
    "Route",
    "ServiceSettings",
    "Share",
    "choose_service",
]


class CallKind(Enum):
    """Kind of a route's requests, which decides whether they may be repeated."""

    ONCE = "once"
    IDEMPOTENT = "idempotent"
    STREAM = "stream"


class Share(NamedTuple):
    """The weight of a service within a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests of one host and path prefix; priority 0 is the most urgent."""

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
    # The longest gap in seconds between events of a stream that is still on time.
    gap_s: float

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class ServiceSettings(NamedTuple):
    """Settings of a service; `cache_tokens` is None for services other than model engines."""

    name: str
    max_connections: int
    cache_tokens: int | None


class RequestLimits(NamedTuple):
    """Limits on the size of callers' requests in bytes and on their transfer and idle times."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class MoreUrgentStreams(NamedTuple):
    """Number of more urgent classes of streams, and the shortest event gap they allow."""

    classes: int
    gap_s: float


class Catalog:
    """One version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSettings],
        access: Access,
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.access = access
        self.limits = limits
        self.services = {service.name: service for service in services}
        # Services whose streams may go on after they broke off.
        self.resumable_services: set[str] = set()
        self._routes: dict[str, list[Route]] = {}
        # Priority and allowed event gap of the stream classes of each service.
        self._stream_classes: dict[str, set[tuple[int, float]]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
            if route.kind is CallKind.STREAM and route.resumable:
                self.resumable_services.update(share.service for share in route.shares)
            if route.gap_s > 0.0:
                for share in route.shares:
                    self._stream_classes.setdefault(share.service, set()).add(
                        (route.priority, route.gap_s)
                    )
        for found in self._routes.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        routes = self._routes.get(host, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def more_urgent(self, service: str, priority: int) -> "MoreUrgentStreams":
        """Return the streams of a service that are more urgent than the given priority."""
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


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request, which is the same for all of its attempts."""
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
