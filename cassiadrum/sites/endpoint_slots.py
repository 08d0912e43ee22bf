"""An endpoint of a local site with its sidecar."""

from typing import NamedTuple

from cassiadrum.roles import Daemon
from cassiadrum.standins import EngineStandin, PlainServiceStandin

__all__ = ["EndpointSlot"]


class EndpointSlot(NamedTuple):
    """Hold an endpoint stand-in and the sidecar beside it."""

    instance: str
    service: str
    zone: str
    endpoint: EngineStandin | PlainServiceStandin
    sidecar: Daemon
