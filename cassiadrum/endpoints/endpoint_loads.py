"""The load that an endpoint reports."""

from typing import Annotated, NamedTuple

from msgspec import Meta

__all__ = ["EndpointLoad"]

# Numbers that can be used in sums and rates without overflow.
Count = Annotated[int, Meta(ge=0, le=10**9)]
MAX_VERSION_CHARACTERS = 200
Rate = Annotated[float, Meta(ge=0.0, le=1e12)]


class EndpointLoad(NamedTuple):
    """Load of an endpoint: counts of requests, loaded models and adapters, cached prefixes.

    `tokens_per_s` is the output rate. `cached` holds the keys of prompt prefixes that were cached
    since the last report. `version` is that of the software, empty if the endpoint states none.
    """

    running: Count = 0
    waiting: Count = 0
    tokens_per_s: Rate = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    cached: tuple[int, ...] = ()
    version: Annotated[str, Meta(max_length=MAX_VERSION_CHARACTERS)] = ""
