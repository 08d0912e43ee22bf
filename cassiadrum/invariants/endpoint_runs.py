"""Run of a request at an endpoint."""

from typing import NamedTuple

__all__ = ["EndpointRun"]


class EndpointRun(NamedTuple):
    """Run of a request as recorded by the endpoint itself.

    Times are in seconds since the epoch; `ended_s` is None if the run has not ended. `instance` is
    the instance name that the endpoint shares with its sidecar. `key` is empty without an
    Idempotency-Key.
    """

    request_id: str
    service: str
    instance: str
    key: str
    started_s: float
    ended_s: float | None
    tokens: int
    completed: bool
