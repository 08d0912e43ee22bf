"""Actions that an endpoint scheduler returns to its sidecar."""

from typing import NamedTuple

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["Pause", "Reject", "Resume", "SchedulerAction", "Start"]


class Start(NamedTuple):
    """Action: start the request at the endpoint."""

    req: QueuedRequest


class Pause(NamedTuple):
    """Pause the running stream; its KV cache stays at the engine."""

    request_id: str


class Resume(NamedTuple):
    """Action: resume a paused stream."""

    request_id: str


class Reject(NamedTuple):
    """Action: return the request to its entry instance as not run."""

    req: QueuedRequest
    reason: str


SchedulerAction = Start | Pause | Resume | Reject
