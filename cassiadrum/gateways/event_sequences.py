"""Sequence check of the events of a stream over several attempts."""

import re

from cassiadrum.frontends.server_sent_events import EventSplitter
from cassiadrum.gateways.errors import AttemptFailed

__all__ = ["EventSequence"]

EVENT_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")
# Present in events but not in comments, which endpoints may send to keep a connection open.
EVENT_DATA = re.compile(rb"(?m)^data:")
# Maximum digits of a numeric id; the interpreter refuses to convert very long ones.
MAX_ID_DIGITS = 18
NUMBER = re.compile(rf"[0-9]{{1,{MAX_ID_DIGITS}}}")
# Maximum size of one event.
MAX_EVENT_BYTES = 1024 * 1024


class EventSequence:
    """The complete events of a stream, with consecutive ids; `last_id` is that of the last one.

    `data_events` is the number of events that carried data.
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.data_events = 0
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return complete events; raise AttemptFailed on a gap or a repetition."""
        complete = self._splitter.feed(data)
        self.data_events += len(EVENT_DATA.findall(complete))
        if self._splitter.buffered_bytes > MAX_EVENT_BYTES:
            raise AttemptFailed(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        for found in EVENT_ID.findall(complete):
            event_id = found.decode()
            if not self._is_next(event_id):
                raise AttemptFailed(
                    f"event {event_id[:MAX_ID_DIGITS]} follows event {self.last_id}"
                )
            self.last_id = event_id
        return complete

    def _is_next(self, event_id: str) -> bool:
        """Return whether an event is the next one; any id may follow one that is not a number."""
        if len(event_id) > MAX_ID_DIGITS:
            return False
        if not NUMBER.fullmatch(self.last_id):
            return True
        return int(event_id) == int(self.last_id) + 1

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event in bytes."""
        return self._splitter.buffered_bytes

    def end(self) -> None:
        """End the stream; raise AttemptFailed if the last event is incomplete."""
        if self._splitter.buffered_bytes:
            raise AttemptFailed("the stream ended inside an event")

    def discard_partial_event(self) -> None:
        """Discard the incomplete event of a failed attempt."""
        self._splitter.discard_partial_event()
