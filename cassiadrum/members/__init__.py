"""Membership of the fleet and selection of connections, without I/O; callers pass the time."""

from cassiadrum.members.connection_bounds import (
    ConnectionBound,
    links_per_service,
    mean_connections,
)
from cassiadrum.members.member_changes import ChangeKind, MemberChange
from cassiadrum.members.memberships import REMOVAL_LIMIT_S, Membership
from cassiadrum.members.subsets import Subset

__all__ = [
    "REMOVAL_LIMIT_S",
    "ChangeKind",
    "ConnectionBound",
    "MemberChange",
    "Membership",
    "Subset",
    "links_per_service",
    "mean_connections",
]
