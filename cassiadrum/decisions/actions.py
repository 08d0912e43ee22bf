"""Actions that a dispatcher returns to its entry instance."""

from typing import NamedTuple

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["Action", "Cancel", "Dispatch", "Hedge", "Refuse"]


class Dispatch(NamedTuple):
    """Action: send the request to an endpoint instance."""

    req: QueuedRequest
    instance: str


class Hedge(NamedTuple):
    """Action: send a second copy of the request to another endpoint instance."""

    req: QueuedRequest
    instance: str


class Cancel(NamedTuple):
    """Action: cancel the request's copy at an endpoint instance."""

    request_id: str
    instance: str


class Refuse(NamedTuple):
    """Answer the request with a final refusal.

    `ran` says whether the request ran; `retry_after_s` is in seconds.
    """

    req: QueuedRequest
    reason: str
    ran: ExecutionStatus
    retry_after_s: float


Action = Dispatch | Hedge | Cancel | Refuse
