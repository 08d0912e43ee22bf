"""What a dispatcher tells the entry instance to do."""

from typing import NamedTuple

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["Action", "Cancel", "Dispatch", "Hedge", "Refuse"]


class Dispatch(NamedTuple):
    """Send the request to the endpoint instance."""

    req: QueuedRequest
    instance: str


class Hedge(NamedTuple):
    """Send a second copy of the request to another endpoint instance."""

    req: QueuedRequest
    instance: str


class Cancel(NamedTuple):
    """Cancel the request at the endpoint instance."""

    request_id: str
    instance: str


class Refuse(NamedTuple):
    """Give the request its final refusal; `retry_after_s` is in seconds."""

    req: QueuedRequest
    reason: str
    ran: ExecutionStatus
    retry_after_s: float


Action = Dispatch | Hedge | Cancel | Refuse
