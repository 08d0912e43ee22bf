"""Conversion of attempts to and from the message that starts them at a sidecar."""

import math

from cassiadrum.crash_evidence import Exposure, encode_contents, find_request
from cassiadrum.decisions import QueuedRequest
from cassiadrum.links.messages import StartRequest
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["queued_request", "start_message"]

# Hop-by-hop headers and headers that the router sets itself are not forwarded.
FORWARDED_HEADERS = frozenset(
    {"accept", "accept-language", "content-type", "authorization", "user-agent", "x-customer"}
)


def start_message(pending: PendingRequest, attempt_id: str, now: float) -> StartRequest:
    """Return the start message of an attempt dispatched at `now`, in monotonic seconds."""
    req, http = pending.queued, pending.http
    content = find_request(pending.contents)
    exposures = {} if content is None else {content: Exposure(resent=pending.resent)}
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
        contents=encode_contents(pending.contents, exposures),
    )


def queued_request(msg: StartRequest, now: float) -> QueuedRequest:
    """Return the queue entry for the sidecar's scheduler; `now` is in monotonic seconds."""
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
