"""Whole events of a stream, in order, over several attempts."""

import re

from cassiadrum.frontends.server_sent_events import EventSplitter
from cassiadrum.gateways.errors import AttemptFailed

__all__ = ["EventSequence"]

EVENT_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")
# What tells an event from a comment, which endpoints may send to keep a connection open.
EVENT_DATA = re.compile(rb"(?m)^data:")
# Longer ids are no numbers of events, and the interpreter refuses to convert very long ones.
ID_DIGITS = 18
NUMBER = re.compile(rf"[0-9]{{1,{ID_DIGITS}}}")
# The longest single event in bytes.
EVENT_BYTES = 1024 * 1024


class EventSequence:
    """Pass on whole events whose ids follow one another; `last_id` is that of the last one.

    `count` is the number of events that carried data.
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.count = 0
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events; raise AttemptFailed on a gap or a repetition."""
        whole = self._splitter.feed(data)
        self.count += len(EVENT_DATA.findall(whole))
        if self._splitter.buffered_bytes > EVENT_BYTES:
            raise AttemptFailed(f"an event is larger than {EVENT_BYTES} bytes")
        for found in EVENT_ID.findall(whole):
            event_id = found.decode()
            if not self._may_follow(event_id):
                raise AttemptFailed(f"event {event_id[:ID_DIGITS]} follows event {self.last_id}")
            self.last_id = event_id
        return whole

    def _may_follow(self, event_id: str) -> bool:
        """Return whether an event is the next one; any may be where the last has no number."""
        if len(event_id) > ID_DIGITS:
            return False
        if not NUMBER.fullmatch(self.last_id):
            return True
        return int(event_id) == int(self.last_id) + 1

    @property
    def held_bytes(self) -> int:
        """Return the size of the unfinished event."""
        return self._splitter.buffered_bytes

    def end(self) -> None:
        """Take the end of the stream; raise AttemptFailed inside an event."""
        if self._splitter.buffered_bytes:
            raise AttemptFailed("the stream ended inside an event")

    def restart(self) -> None:
        """Drop the part of an event that a failed attempt left."""
        self._splitter.discard_partial_event()
