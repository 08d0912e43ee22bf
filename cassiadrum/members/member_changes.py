"""Changes of a membership."""

from enum import StrEnum
from typing import NamedTuple

from cassiadrum.stores.instances import Instance

__all__ = ["ChangeKind", "MemberChange"]


class ChangeKind(StrEnum):
    """Kind of a change; after `moved`, the member must be dialled at its new address."""

    JOINED = "joined"
    MOVED = "moved"
    LEAVING = "leaving"
    RETURNED = "returned"
    LEFT = "left"


class MemberChange(NamedTuple):
    """A change of one member."""

    kind: ChangeKind
    member: Instance
