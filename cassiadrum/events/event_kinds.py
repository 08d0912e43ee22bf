"""Kinds of events."""

from enum import StrEnum
from typing import Final

__all__ = ["REQUEST_END_KINDS", "EventKind"]


class EventKind(StrEnum):
    """Kind of an event; `cassiadrum.invariants` documents the fields that its rules need."""

    # Process lifecycle. `draining` starts a planned stop, `stopped` is the last event.
    PROCESS_STARTED = "process_started"
    DRAINING = "draining"
    DRAIN_LIMIT_REACHED = "drain_limit_reached"
    STOPPED = "stopped"
    # Request lifecycle.
    RECEIVED = "received"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    STARTED = "started"
    FIRST_TOKEN = "first_token"
    PAUSED = "paused"
    RESUMED = "resumed"
    RETRIED = "retried"
    HEDGED = "hedged"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    REFUSED = "refused"
    EVICTED = "evicted"
    FINISHED = "finished"
    DETACHED = "detached"
    REATTACHED = "reattached"
    ANSWER_KEPT = "answer_kept"
    # Claims of once-only calls.
    CLAIM_MADE = "claim_made"
    CLAIM_REFUSED = "claim_refused"
    CLAIM_RESOLVED = "claim_resolved"
    # Leases, and orders to engines.
    LEASE_ACQUIRED = "lease_acquired"
    LEASE_LOST = "lease_lost"
    LEASE_RELEASED = "lease_released"
    ORDER_SENT = "order_sent"
    ORDER_CARRIED_OUT = "order_carried_out"
    ORDER_REFUSED = "order_refused"
    # Configuration.
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_APPLIED = "configuration_applied"
    CONFIGURATION_REFUSED = "configuration_refused"
    # Membership and connections.
    MEMBER_JOINED = "member_joined"
    MEMBER_LEAVING = "member_leaving"
    MEMBER_LEFT = "member_left"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    # Health of endpoints, and circuit breakers.
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_RECOVERED = "endpoint_recovered"
    ENDPOINT_EJECTED = "endpoint_ejected"
    ENDPOINT_RESTORED = "endpoint_restored"
    BREAKER_OPENED = "breaker_opened"
    BREAKER_CLOSED = "breaker_closed"
    # Kind recorded by a newer version; its name is in the field `unknown_kind`.
    UNKNOWN = "unknown"


# Kinds that end a request, or one attempt of it, in the process that records them.
REQUEST_END_KINDS: Final = frozenset(
    {
        EventKind.FINISHED,
        EventKind.CANCELLED,
        EventKind.REJECTED,
        EventKind.REFUSED,
        EventKind.EVICTED,
    }
)
