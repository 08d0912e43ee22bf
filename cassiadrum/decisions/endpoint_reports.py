"""The load report of one endpoint."""

from typing import NamedTuple

__all__ = ["EndpointReport"]


class EndpointReport(NamedTuple):
    """An endpoint's load at `reported_s`, in the receiver's monotonic seconds.

    `running` and `queued` count requests, `limit` is the current concurrency limit, and
    `tokens_per_s` is the measured output rate of the whole endpoint. A `leaving` endpoint takes
    no new work. `version` is that of the endpoint's software, empty if it states none.
    """

    instance: str
    zone: str
    running: int
    queued: int
    limit: int
    reported_s: float
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    leaving: bool = False
    tokens_per_s: float = 0.0
    version: str = ""
