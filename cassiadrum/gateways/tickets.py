"""The life of one request at the gateway."""

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.catalogs import CallKind, Customer, Route

__all__ = ["Ticket"]


class Ticket:
    """Track a request; times are monotonic seconds."""

    def __init__(self, call: Call, received_s: float) -> None:
        self.call = call
        self.received_s = received_s
        # Set by each resolution, as the configuration may change while the request waits.
        self.route: Route | None = None
        self.customer: Customer | None = None
        self.service = ""
        self.deadline_s = float("inf")
        self.target_s = float("inf")
        # Instances that got the request.
        self.tried: set[str] = set()
        self.sends = 0
        # Whether an endpoint may have run it.
        self.may_have_run = False

    def resolve(self, route: Route, customer: Customer | None, service: str) -> None:
        """Take route, customer and service from the configuration in force."""
        first = self.route is None
        self.route = route
        self.customer = customer
        self.service = service
        if first:
            timeout_s = min(route.timeout_s, self.call.timeout_s or route.timeout_s)
            self.deadline_s = self.received_s + timeout_s
            self.target_s = self.received_s + route.target_s

    @property
    def priority(self) -> int:
        """Return the customer's priority, the route's where the customer has none."""
        assert self.route is not None
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def cancellable(self) -> bool:
        """Return whether the work stops when the caller leaves."""
        assert self.route is not None
        return not self.sends or self.route.kind is not CallKind.ONCE

    def may_repeat(self) -> bool:
        """Return whether another endpoint may get the request."""
        assert self.route is not None
        if self.sends >= self.route.max_attempts:
            return False
        return self.route.repeatable or not self.may_have_run
