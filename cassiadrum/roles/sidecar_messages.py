"""Messages to the sidecar's task."""

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
    "LinkLost",
    "LinkMessage",
    "LoadChanged",
    "SidecarMessage",
    "Tick",
]


class LinkMessage(NamedTuple):
    """A message of an entry instance."""

    link: Link
    msg: Message


class LinkLost(NamedTuple):
    """A link ended."""

    link: Link


class CallStarted(NamedTuple):
    """The call is sent to the endpoint now."""

    attempt_id: str


class CallHead(NamedTuple):
    """The endpoint answered with this status and these headers."""

    attempt_id: str
    status: int
    headers: list[tuple[str, str]]


class CallData(NamedTuple):
    """Bytes of the endpoint's answer."""

    attempt_id: str
    data: bytes


class CallEnded(NamedTuple):
    """The call to the endpoint ended."""

    attempt_id: str
    outcome: Outcome


class LoadChanged(NamedTuple):
    """The endpoint's load report, None when the endpoint cannot be reached."""

    load: EndpointLoad | None
    measured_s: float


class DrainSidecar(NamedTuple):
    """Take no more work."""


class Tick(NamedTuple):
    """Time has passed."""


class EndAllStreams(NamedTuple):
    """The drain limit is reached."""


SidecarMessage = (
    LinkMessage
    | LinkLost
    | CallStarted
    | CallHead
    | CallData
    | CallEnded
    | LoadChanged
    | DrainSidecar
    | Tick
    | EndAllStreams
)
