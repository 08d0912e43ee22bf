"""Messages to the task that runs a sidecar."""

from typing import NamedTuple

from cassiadrum.decisions import Outcome
from cassiadrum.endpoints import EndpointLoad
from cassiadrum.links import Link
from cassiadrum.links.messages import Message

__all__ = [
    "CallData",
    "CallEnded",
    "CallHead",
    "CallStarted",
    "DrainSidecar",
    "EndAllStreams",
    "EntryLinkClosed",
    "EntryMessage",
    "LoadChanged",
    "SidecarMessage",
    "Tick",
]


class EntryMessage(NamedTuple):
    """An entry instance sent a message on a link."""

    link: Link
    msg: Message


class EntryLinkClosed(NamedTuple):
    """A link ended."""

    link: Link


class CallStarted(NamedTuple):
    """The call is about to be sent to the endpoint."""

    attempt_id: str


class CallHead(NamedTuple):
    """The endpoint answered with this status and these headers."""

    attempt_id: str
    status: int
    headers: list[tuple[str, str]]


class CallData(NamedTuple):
    """The endpoint sent bytes of its answer."""

    attempt_id: str
    data: bytes


class CallEnded(NamedTuple):
    """The call to the endpoint ended.

    `endpoint_ended` tells that its process ended as it may have begun the answer.
    """

    attempt_id: str
    outcome: Outcome
    endpoint_ended: bool = False


class LoadChanged(NamedTuple):
    """The endpoint was polled for its load.

    `load` is None when the endpoint could not be reached; `measured_s` is in monotonic seconds.
    """

    load: EndpointLoad | None
    measured_s: float


class DrainSidecar(NamedTuple):
    """Drain: accept no more work and announce it to the entry instances."""


class Tick(NamedTuple):
    """The periodic timer fired."""


class EndAllStreams(NamedTuple):
    """The drain limit is reached; every unfinished stream is ended."""


SidecarMessage = (
    EntryMessage
    | EntryLinkClosed
    | CallStarted
    | CallHead
    | CallData
    | CallEnded
    | LoadChanged
    | DrainSidecar
    | Tick
    | EndAllStreams
)
