"""A started request as the sidecar's decisions see it."""

from typing import NamedTuple

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RunningStream"]


class RunningStream(NamedTuple):
    """Hold a started request with its progress; times are monotonic seconds.

    `changed_s` is the time of the last start, pause or resume.
    """

    req: QueuedRequest
    changed_s: float
    tokens: int = 0
    pauses: int = 0
