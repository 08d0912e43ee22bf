"""The configuration in force at a gateway."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Mapping

from cassiadrum.gateways.access import Customer
from cassiadrum.gateways.catalogs import Catalog, Route, ServiceSettings, choose_service
from cassiadrum.gateways.confirmations import Confirmation
from cassiadrum.gateways.errors import IMMEDIATE_RETRY_AFTER_S, Denied, Refused
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.logs import RATE_LIMITED_FIELD

__all__ = ["ActiveConfiguration"]

logger = logging.getLogger(__name__)

# Time for which a request waits for the first configuration of a starting process, which takes one
# call to the store.
START_WAIT_S = 1.0
# Retry-After of a stream whose service the route no longer has; a later version may have it.
ELSEWHERE_RETRY_AFTER_S = 1.0


class ActiveConfiguration:
    """The newest configuration that a gateway knows, and when the store confirmed it.

    With `strict_keys`, requests with a key are refused once it was not confirmed for
    `confirmation_limit_s`. `boot_clock` returns seconds since boot.
    """

    def __init__(
        self, confirmation_limit_s: float, strict_keys: bool, boot_clock: Callable[[], float]
    ) -> None:
        self.catalog: Catalog | None = None
        # Called with each configuration that comes into force.
        self.on_catalog: Callable[[Catalog], None] = lambda catalog: None
        self.confirmation = Confirmation(confirmation_limit_s)
        # Unix time at which the catalog was put in force.
        self.in_force_since_s = 0.0
        self._strict_keys = strict_keys
        self._boot_clock = boot_clock
        self._known = asyncio.Event()

    @property
    def confirmed(self) -> bool:
        """Return whether the configuration in force was confirmed recently."""
        return self.catalog is not None and self.confirmation.valid(self._boot_clock())

    @property
    def version(self) -> int | None:
        """Return the version in force, None before the first one."""
        return self.catalog.version if self.catalog is not None else None

    @property
    def services(self) -> Mapping[str, ServiceSettings]:
        """Return the services by name, none before the first configuration."""
        return self.catalog.services if self.catalog is not None else {}

    def age_s(self) -> float:
        """Return the seconds since the last confirmation, infinite before the first one."""
        return self.confirmation.age_s(self._boot_clock())

    def reconfigure(self, confirmation_limit_s: float, strict_keys: bool) -> None:
        """Apply changed settings."""
        self.confirmation.limit_s = confirmation_limit_s
        self._strict_keys = strict_keys

    def set_catalog(self, catalog: Catalog) -> None:
        """Put a configuration in force, unless it is older than the one in force."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        self.in_force_since_s = time.time()
        self._known.set()
        self.on_catalog(catalog)
        # The number of these lines is limited by the operator's rate of changes.
        logger.info(
            "configuration in force", extra={"version": catalog.version, RATE_LIMITED_FIELD: True}
        )

    async def wait_for_first(self) -> None:
        """Wait for the first configuration of a new process, for a limited time."""
        if self.catalog is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(START_WAIT_S):
                    await self._known.wait()

    def resolve(self, ctx: RequestContext) -> None:
        """Set route, customer and service of a request; raise Denied or Refused."""
        catalog = self.catalog
        if catalog is None:
            raise Refused("no_configuration", IMMEDIATE_RETRY_AFTER_S)
        call = ctx.call
        route = catalog.route(call.host, call.path)
        if route is None:
            self._check_confirmed()
            raise Denied(404, "no_route")
        customer = self._find_customer(catalog, route, call.key)
        service = _find_service(ctx, route)
        ctx.resolve(route, customer, service)
        ctx.more_urgent = catalog.more_urgent(service, route.priority)
        ctx.has_less_urgent = catalog.has_less_urgent(service, route.priority)

    def log_fields(self) -> dict[str, object]:
        """Return the version in force and the age of its confirmation as log fields."""
        age_s = self.age_s()
        return {
            "version": self.version or 0,
            "version_age_ms": round(age_s * 1000) if age_s < float("inf") else None,
        }

    def _find_customer(self, catalog: Catalog, route: Route, key: str | None) -> Customer | None:
        """Return the customer that holds the key of a request, None if the route needs none."""
        if not catalog.access.asks_for_key or route.public:
            return None
        if self._strict_keys:
            self._check_confirmed()
        customer = catalog.access.customer(key)
        if customer is None:
            raise Denied(401, "unknown_key")
        return customer

    def _check_confirmed(self) -> None:
        """Raise Refused if the configuration in force may be outdated."""
        if not self.confirmed:
            raise Refused("configuration_not_confirmed", IMMEDIATE_RETRY_AFTER_S)


def _find_service(ctx: RequestContext, route: Route) -> str:
    """Return the service of a request, which is that of its stream's origin; raise Refused.

    A stream that is taken up goes where the request went that brought its first event.
    """
    if ctx.origin is None:
        return choose_service(route, ctx.call.resumes or ctx.call.request_id)
    if all(share.service != ctx.origin.service for share in route.shares):
        raise Refused(
            "stream_began_elsewhere",
            ELSEWHERE_RETRY_AFTER_S,
            origin_service=ctx.origin.service,
            route=route.name,
        )
    return ctx.origin.service
