"""Started request at a sidecar."""

from typing import NamedTuple

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RunningStream"]


class RunningStream(NamedTuple):
    """A started request with its progress.

    `changed_s` is the time of the last start, pause or resume, in monotonic seconds.
    """

    req: QueuedRequest
    changed_s: float
    tokens: int = 0
    pauses: int = 0
