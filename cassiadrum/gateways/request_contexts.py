"""State of one request at the gateway."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiadrum.crash_evidence import (
    Content,
    Contents,
    customer_content,
    part_contents,
    request_content,
)
from cassiadrum.gateways.access import Customer
from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.catalogs import CallKind, MoreUrgentStreams, Route
from cassiadrum.gateways.endpoint_views import EndpointView

__all__ = ["RequestContext", "StreamOrigin"]


# Distinct route priorities within one customer priority. Endpoints support ten priorities in
# total.
ROUTE_PRIORITIES = 4
DEFAULT_CUSTOMER_PRIORITY = 1


class StreamOrigin(NamedTuple):
    """The service and the software version of the endpoint that sent a stream's first event."""

    service: str
    version: str

    def permits(self, version: str) -> bool:
        """Return whether the stream may go on at a version; one that is not known fits none."""
        return bool(self.version) and version == self.version


class RequestContext:
    """A request with its route, attempts and deadlines; times are monotonic seconds."""

    def __init__(self, call: Call, received_s: float) -> None:
        self.call = call
        self.received_s = received_s
        # Set by each call of `resolve`, as the configuration may change while the request waits.
        self.route: Route | None = None
        self.customer: Customer | None = None
        self.service = ""
        self.deadline_s = float("inf")
        self.target_s = float("inf")
        # More urgent streams of the service.
        self.more_urgent = MoreUrgentStreams(0, float("inf"))
        # Whether the service has less urgent streams.
        self.has_less_urgent = False
        # Instance of the endpoint that the request was assigned to, None after the attempt.
        self.assigned: str | None = None
        # Instances that were tried, including unreachable ones.
        self.tried: set[str] = set()
        # Tried instances that were only silent.
        self.left_silent: set[str] = set()
        self.sends = 0
        # Time of the first send to an endpoint, None before it.
        self.sent_s: float | None = None
        # Sends that reached an endpoint, including misdirected ones, which `sends` leaves out.
        self.deliveries = 0
        # Whether an endpoint may have run the request.
        self.may_have_run = False
        # Whether its last endpoint may have ended as it began the answer.
        self.lost_at_beginning = False
        # Where its stream began, None until the caller has an event of it.
        self.origin: StreamOrigin | None = None
        # What the request has in common with others, by which those are found that end endpoints.
        self.contents: Contents = {}
        # The one among them with which the request is sent although it is blamed.
        self.tried_content: Content | None = None

    def resolve(self, route: Route, customer: Customer | None, service: str) -> None:
        """Set route, customer and service; the first call also sets deadline and target."""
        first = self.route is None
        self.route = route
        self.customer = customer
        self.service = service
        if first:
            timeout_s = route.timeout_s
            if self.call.timeout_s is not None:
                timeout_s = min(timeout_s, self.call.timeout_s)
            self.deadline_s = self.received_s + timeout_s
            self.target_s = self.received_s + route.target_s
            self.contents = _find_contents(self.call, customer)

    @property
    def urgency(self) -> int:
        """Return the rank among requests, lowest first: customer priority, then route priority."""
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
        """Return whether the request is cancelled when the caller disconnects."""
        assert self.route is not None
        return not self.sends or self.route.kind is not CallKind.ONCE

    @property
    def is_resumable(self) -> bool:
        """Return whether the answer is a stream that may go on after it broke off."""
        assert self.route is not None
        return self.route.kind is CallKind.STREAM and self.route.resumable

    @property
    def takes_up(self) -> bool:
        """Return whether the caller has a part of the stream already."""
        return self.is_resumable and bool(self.call.last_event_id or self.call.resumes)

    def describe(self) -> dict[str, object]:
        """Return the classification of the request as log fields."""
        assert self.route is not None
        call = self.call
        resumed = {"resumes": call.resumes, "last_event": call.last_event_id}
        return {
            "route": self.route.name,
            "kind": self.route.kind.name.lower(),
            "customer": self.customer.name if self.customer else "",
            "urgency": self.urgency,
            "prompt_tokens": self.call.prompt_tokens,
            "max_output_tokens": self.call.max_output_tokens,
            "target_ms": round((self.target_s - self.received_s) * 1000),
            "limit_ms": round((self.deadline_s - self.received_s) * 1000),
            **(resumed if call.last_event_id else {}),
        }

    def untried(self, views: Iterable[EndpointView]) -> list[EndpointView]:
        """Return the endpoints that were not tried for the request."""
        return [view for view in views if view.entry.instance not in self.tried]

    def may_repeat(self) -> bool:
        """Return whether another attempt is allowed."""
        assert self.route is not None
        if self.sends >= self.route.max_attempts:
            return False
        return self.route.repeatable or not self.may_have_run


def _find_contents(call: Call, customer: Customer | None) -> Contents:
    contents = part_contents(call.shared_parts)
    texts = (call.method, call.host, call.target, *(part.part_id for part in call.prompt))
    fields = [text.encode(errors="surrogateescape") for text in texts]
    contents[request_content(*fields, call.body)] = len(call.shared_parts)
    if customer is not None:
        contents[customer_content(customer.name)] = 0
    return contents
