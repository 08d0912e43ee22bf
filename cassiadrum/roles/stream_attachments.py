"""Attachment of a sidecar's streams to links."""

from collections.abc import Callable

from cassiadrum.decisions import ExecutionStatus
from cassiadrum.links import Link, PositionUnavailable, split_data
from cassiadrum.links.messages import Attach, End, RejectStart
from cassiadrum.roles.sidecar_streams import SidecarStream

__all__ = ["FINISHED_RETENTION_S", "StreamAttachments"]

# How long a finished answer can still be fetched.
FINISHED_RETENTION_S = 60.0


class StreamAttachments:
    """Attachments of streams to links, on which answers are sent from a position on.

    `streams` holds the streams by attempt id.
    """

    def __init__(self, streams: dict[str, SidecarStream], clock: Callable[[], float]) -> None:
        self._streams = streams
        self._clock = clock
        # Attempts that a peer asked for before their start message arrived. The peer was told that
        # they did not run, so a start message delayed on an old connection must be refused.
        self._refused_starts: dict[str, float] = {}

    def attach(self, link: Link, msg: Attach) -> None:
        """Send the answer from the requested position on, and all that follows, on this link."""
        stream = self._streams.get(msg.attempt_id)
        if stream is None:
            self._attach_unknown(link, msg)
            return
        try:
            rest = stream.buffer.read_from(msg.position)
        except PositionUnavailable:
            link.send(
                End(msg.attempt_id, False, ExecutionStatus.EXECUTED, 0, "answer_lost", 0.0, 0)
            )
            return
        _move_to_link(stream, link)
        stream.detached_since_s = None
        if stream.head is not None:
            link.send(stream.head)
        for part in split_data(msg.attempt_id, msg.position, rest):
            link.send(part)
        if stream.end is not None:
            link.send(stream.end)

    def detach(self, link: Link, attempt_id: str) -> None:
        """Stop sending a stream on this link and keep it for another link."""
        stream = self._streams.get(attempt_id)
        if stream is not None and stream.link is link:
            stream.link = None
            stream.detached_since_s = self._clock()

    def link_down(self, link: Link) -> None:
        """Detach the streams of a link that ended."""
        for attempt_id in [key for key, stream in self._streams.items() if stream.link is link]:
            self.detach(link, attempt_id)

    def is_refused(self, attempt_id: str) -> bool:
        """Return whether a start message of the attempt must be refused."""
        return attempt_id in self._refused_starts

    def expire_refusals(self, now: float) -> None:
        """Drop refusals older than FINISHED_RETENTION_S; no delayed start can still arrive."""
        horizon = now - FINISHED_RETENTION_S
        self._refused_starts = {
            key: at for key, at in self._refused_starts.items() if at > horizon
        }

    def _attach_unknown(self, link: Link, msg: Attach) -> None:
        """Answer for an unknown attempt: it never arrived, or it was already removed."""
        self._refused_starts[msg.attempt_id] = self._clock()
        if msg.age_s < FINISHED_RETENTION_S / 2:
            link.send(RejectStart(msg.attempt_id, "no_endpoint", 0.0))
        else:
            # It may have run and been removed, for example while its entry instance was paused.
            link.send(
                End(msg.attempt_id, False, ExecutionStatus.UNKNOWN, 0, "answer_lost", 0.0, 0)
            )


def _move_to_link(stream: SidecarStream, link: Link) -> None:
    """Attach a stream to a link and send an end to the entry instance that had it before.

    The caller now fetches the rest through another entry instance. Without the end its first
    request would stay open as long as its silent connection does.
    """
    old, stream.link = stream.link, link
    if old is not None and old.peer is not None and old.peer.instance != _peer_instance(link):
        end = End(
            stream.start.attempt_id, False, ExecutionStatus.UNKNOWN, 0, "answer_lost", 0.0, 0
        )
        old.send(end._replace(final=True))


def _peer_instance(link: Link) -> str:
    return link.peer.instance if link.peer else ""
