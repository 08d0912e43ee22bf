"""The message that hands an attempt to a sidecar, on both sides."""

import math

from cassiadrum.decisions import QueuedRequest
from cassiadrum.links.messages import StartRequest
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["queued_request", "start_message"]

# Hop-by-hop headers and those that the router sets itself are not passed on.
FORWARDED_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "authorization", "user-agent", "x-customer"}
)


def start_message(pending: PendingRequest, attempt_id: str, now: float) -> StartRequest:
    """Return the message for an attempt that is dispatched at `now`, monotonic seconds."""
    req, http = pending.queued, pending.http
    return StartRequest(
        attempt_id,
        req.request_id,
        req.service,
        req.class_name,
        req.tier,
        req.protected,
        req.once_only,
        pending.request_class.cancellable,
        req.customer,
        req.deadline_s - now,
        http.method,
        pending.target,
        [(name, value) for name, value in http.headers if name in FORWARDED_HEADERS],
        http.body,
        pending.idempotency_key,
        pending.splitter.events,
        max_wait_s=req.max_wait_s,
        idempotent=req.idempotent,
        silence_limit_s=pending.silence_limit_s,
    )


def queued_request(msg: StartRequest, now: float) -> QueuedRequest:
    """Return the attempt as the sidecar's scheduler takes it."""
    left_s = msg.deadline_left_s
    return QueuedRequest(
        msg.attempt_id,
        msg.service,
        msg.class_name,
        msg.tier,
        msg.protected,
        msg.customer,
        now,
        now + left_s if math.isfinite(left_s) else math.inf,
        idempotent=msg.idempotent,
        once_only=msg.once_only,
        max_wait_s=msg.max_wait_s,
    )
