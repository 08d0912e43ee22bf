"""What an endpoint ran."""

from typing import NamedTuple

__all__ = ["EndpointRun"]


class EndpointRun(NamedTuple):
    """State one run of a request from the endpoint's own record.

    Times are in seconds since the epoch; `ended_s` is None while the run goes on. `instance` is
    the instance of the endpoint, which its sidecar shares. `key` is empty without a key.
    """

    request_id: str
    service: str
    instance: str
    key: str
    started_s: float
    ended_s: float | None
    tokens: int
    completed: bool
