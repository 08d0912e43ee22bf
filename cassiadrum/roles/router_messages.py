"""Messages to the router task of an entry instance."""

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
    """A caller has sent a request."""

    pending: PendingRequest


class CallerDisconnected(NamedTuple):
    """The caller's connection has closed, or its request has been answered."""

    request_id: str


class Delivered(NamedTuple):
    """The bytes of an attempt's answer up to `position` were written to the caller."""

    request_id: str
    attempt_id: str
    position: int


class ReceivedMessage(NamedTuple):
    """A sidecar sent a message over a link."""

    link: Link
    msg: Message


class LinkClosed(NamedTuple):
    """A link to a sidecar was closed."""

    link: Link


class MemberUsable(NamedTuple):
    """A sidecar may receive new work from now on, or may not if `usable` is false."""

    instance: str
    usable: bool


class MemberRemoved(NamedTuple):
    """A sidecar has left the fleet, or this instance no longer links to it."""

    instance: str
    service: str


class Tick(NamedTuple):
    """The tick interval has elapsed."""


class RefuseAll(NamedTuple):
    """The drain limit is reached: refuse every unanswered request."""


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
