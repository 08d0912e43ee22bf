"""The life of one request at the gateway."""

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.catalogs import CallKind, Customer, MoreUrgentStreams, Route

__all__ = ["RequestContext"]


# Priorities of routes that are told apart within one priority of customers. Endpoints know ten
# priorities in all.
ROUTE_PRIORITIES = 4
DEFAULT_CUSTOMER_PRIORITY = 1


class RequestContext:
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
        # The more urgent streams of the service.
        self.more_urgent = MoreUrgentStreams(0, float("inf"))
        # Whether the service has less urgent streams.
        self.has_less_urgent = False
        # Instances that got the request.
        self.tried: set[str] = set()
        self.sends = 0
        # Sends that reached any endpoint, also one that was not meant.
        self.deliveries = 0
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
    def urgency(self) -> int:
        """Return the order among requests: by the customer's priority, then by the route's."""
        assert self.route is not None
        customer = DEFAULT_CUSTOMER_PRIORITY
        if self.customer is not None and self.customer.priority is not None:
            customer = self.customer.priority
        return customer * ROUTE_PRIORITIES + min(self.route.priority, ROUTE_PRIORITIES - 1)

    @property
    def route_priority(self) -> int:
        """Return the priority of the route."""
        assert self.route is not None
        return self.route.priority

    @property
    def target_ms(self) -> float:
        """Return the route's latency target in milliseconds."""
        assert self.route is not None
        return self.route.target_s * 1000

    @property
    def cancellable(self) -> bool:
        """Return whether the work stops when the caller leaves."""
        assert self.route is not None
        return not self.sends or self.route.kind is not CallKind.ONCE

    def describe(self) -> dict[str, object]:
        """Return how the request was classed, for the log."""
        assert self.route is not None
        return {
            "route": self.route.name,
            "kind": self.route.kind.name.lower(),
            "customer": self.customer.name if self.customer else "",
            "urgency": self.urgency,
            "prompt_tokens": self.call.prompt_tokens,
            "max_output_tokens": self.call.max_output_tokens,
            "target_ms": round((self.target_s - self.received_s) * 1000),
            "limit_ms": round((self.deadline_s - self.received_s) * 1000),
        }

    def may_repeat(self) -> bool:
        """Return whether another endpoint may get the request."""
        assert self.route is not None
        if self.sends >= self.route.max_attempts:
            return False
        return self.route.repeatable or not self.may_have_run
