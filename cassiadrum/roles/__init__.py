"""The two roles of the daemon: entry instance and sidecar."""

from cassiadrum.roles.composition import build_daemon
from cassiadrum.roles.daemons import Daemon
from cassiadrum.roles.errors import InvalidRequest, RoleError

__all__ = ["Daemon", "InvalidRequest", "RoleError", "build_daemon"]
