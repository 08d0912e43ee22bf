"""An endpoint of a local site with its sidecar."""

from typing import NamedTuple

from cassiadrum.roles import Daemon
from cassiadrum.standins import EngineStandIn, PlainServiceStandIn

__all__ = ["SiteEndpoint"]


class SiteEndpoint(NamedTuple):
    """Hold an endpoint stand-in and the sidecar beside it."""

    instance: str
    service: str
    zone: str
    standin: EngineStandIn | PlainServiceStandIn
    sidecar: Daemon
