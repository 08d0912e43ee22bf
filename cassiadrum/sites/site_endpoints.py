"""An endpoint of a local site with its sidecar."""

from typing import NamedTuple

from cassiadrum.roles import Daemon
from cassiadrum.standins import EngineStandIn, PlainServiceStandIn

__all__ = ["SiteEndpoint"]


class SiteEndpoint(NamedTuple):
    """One endpoint of a local site: a stand-in and its sidecar."""

    instance: str
    service: str
    zone: str
    standin: EngineStandIn | PlainServiceStandIn
    sidecar: Daemon
