"""Messages to the router of an entry instance."""

from typing import NamedTuple

from cassiadrum.links import Link
from cassiadrum.links.messages import Message
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = [
    "CallerDisconnected",
    "Delivered",
    "LinkClosed",
    "MemberRemoved",
    "MemberUsable",
    "ReceivedMessage",
    "RefuseAll",
    "RouterMessage",
    "Submit",
    "Tick",
]


class Submit(NamedTuple):
    """A new request."""

    pending: PendingRequest


class CallerDisconnected(NamedTuple):
    """The caller closed its connection."""

    request_id: str


class Delivered(NamedTuple):
    """Bytes of an attempt up to a position were written to the caller."""

    request_id: str
    attempt_id: str
    position: int


class ReceivedMessage(NamedTuple):
    """A message of a sidecar."""

    link: Link
    msg: Message


class LinkClosed(NamedTuple):
    """A link ended."""

    link: Link


class MemberUsable(NamedTuple):
    """A sidecar may, or may not, get new work from now on."""

    instance: str
    usable: bool


class MemberRemoved(NamedTuple):
    """A sidecar is gone for good, or not linked to any more."""

    instance: str
    service: str


class Tick(NamedTuple):
    """Time has passed."""


class RefuseAll(NamedTuple):
    """The drain limit is reached."""


RouterMessage = (
    Submit
    | CallerDisconnected
    | Delivered
    | ReceivedMessage
    | LinkClosed
    | MemberUsable
    | MemberRemoved
    | RefuseAll
    | Tick
)
