"""An instance as the platform lists it."""

from typing import Literal, NamedTuple

__all__ = ["Instance"]


class Instance(NamedTuple):
    """Describe an instance; `role` is `entry` or `sidecar`, addresses are `HOST:PORT`."""

    instance: str
    role: str
    service: str
    zone: str
    link_address: str
    admin_address: str
    state: Literal["live", "leaving"] = "live"
