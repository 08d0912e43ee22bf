"""An instance as the platform lists it."""

from typing import Literal, NamedTuple

__all__ = ["Instance"]


class Instance(NamedTuple):
    """Entry of the instance list; `role` is `entry` or `sidecar`, addresses are `HOST:PORT`."""

    instance: str
    role: str
    service: str
    zone: str
    link_address: str
    admin_address: str
    state: Literal["live", "leaving"] = "live"
