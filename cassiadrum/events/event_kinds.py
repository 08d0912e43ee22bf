"""The kinds of events."""

from enum import StrEnum
from typing import Final

__all__ = ["REQUEST_END_KINDS", "EventKind"]


class EventKind(StrEnum):
    """Name what happened; `cassiadrum.invariants` states the fields that its rules read."""

    # Life of a process. `draining` starts a planned stop, `stopped` is its last event.
    PROCESS_STARTED = "process_started"
    DRAINING = "draining"
    DRAIN_LIMIT_REACHED = "drain_limit_reached"
    STOPPED = "stopped"
    # Life of a request.
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
    # Calls that run at most once.
    CLAIM_MADE = "claim_made"
    CLAIM_REFUSED = "claim_refused"
    CLAIM_RESOLVED = "claim_resolved"
    # Authority and orders to engines.
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
    # Members and connections.
    MEMBER_JOINED = "member_joined"
    MEMBER_LEAVING = "member_leaving"
    MEMBER_LEFT = "member_left"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    # State of what a process depends on.
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_RECOVERED = "endpoint_recovered"
    ENDPOINT_EJECTED = "endpoint_ejected"
    ENDPOINT_RESTORED = "endpoint_restored"
    BREAKER_OPENED = "breaker_opened"
    BREAKER_CLOSED = "breaker_closed"
    # A kind that a newer process recorded; its name is in the field `unknown_kind`.
    UNKNOWN = "unknown"


# The kinds that end a request, or an attempt of it, in the process that records them.
REQUEST_END_KINDS: Final = frozenset(
    {
        EventKind.FINISHED,
        EventKind.CANCELLED,
        EventKind.REJECTED,
        EventKind.REFUSED,
        EventKind.EVICTED,
    }
)
