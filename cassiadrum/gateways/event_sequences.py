"""Sequence check of the events of a stream over several attempts."""

import re

from cassiadrum.frontends.server_sent_events import EventSplitter
from cassiadrum.gateways.errors import AttemptFailed

__all__ = ["EventSequence"]

EVENT_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")
# Present in events but not in comments, which endpoints may send to keep a connection open.
EVENT_DATA = re.compile(rb"(?m)^data:")
# A head in the body of a stream: another answer was written into it.
ANSWER_HEAD = re.compile(rb"(?m)^HTTP/1\.[01] [0-9]{3}")
EVENT_END = b"\n\n"
# Maximum digits of a numeric id; the interpreter refuses to convert very long ones.
MAX_ID_DIGITS = 18
NUMBER = re.compile(rf"[0-9]{{1,{MAX_ID_DIGITS}}}")
# Maximum size of one event.
MAX_EVENT_BYTES = 1024 * 1024


class EventSequence:
    """The complete events of a stream, with consecutive ids; `last_id` is that of the last one.

    `data_events` is the number of events that carried data. `resumable` is false once any of them
    had no number as its id: where such a stream would have to go on cannot be told.
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.data_events = 0
        self.resumable = True
        self._splitter = EventSplitter()
        # Whether the current attempt goes on with a stream that the caller has a part of.
        self._resumed = False
        # Whether an attempt sent a part of the next event, or all of it in bytes that were not
        # passed on. An answer that ends without that event is not the whole rest.
        self._next_event_exists = False

    def begin_attempt(self) -> None:
        """Begin with another answer, which has to go on where the last one broke off."""
        self._next_event_exists |= self._splitter.discard_partial_event()
        self._resumed = self.data_events > 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return complete events.

        Raises AttemptFailed on a gap or a repetition, on bytes of another answer, and in a resumed
        stream on an event without an id. None of the bytes may be passed on then.
        """
        complete = self._splitter.feed(data)
        try:
            self._accept(complete)
        except AttemptFailed:
            self._next_event_exists |= EVENT_DATA.search(complete) is not None
            raise
        return complete

    def _accept(self, complete: bytes) -> None:
        """Check complete events and count them; raise AttemptFailed and count none of them."""
        if self._splitter.buffered_bytes > MAX_EVENT_BYTES:
            raise AttemptFailed(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        if ANSWER_HEAD.search(complete):
            raise AttemptFailed("the head of another answer inside the stream")
        last_id = self._check_ids(complete)
        data_events = len(EVENT_DATA.findall(complete))
        if data_events and not self._all_have_ids(complete):
            if self._resumed:
                raise AttemptFailed("an event without an id in a resumed stream")
            self.resumable = False
        self.last_id = last_id
        self.data_events += data_events
        if data_events:
            self._next_event_exists = False

    def _check_ids(self, complete: bytes) -> str:
        """Return the id of the last event; raise AttemptFailed unless the ids are consecutive."""
        last_id = self.last_id
        for found in EVENT_ID.findall(complete):
            event_id = found.decode()
            if not _is_next(event_id, last_id):
                raise AttemptFailed(f"event {event_id[:MAX_ID_DIGITS]} follows event {last_id}")
            last_id = event_id
        return last_id

    @staticmethod
    def _all_have_ids(complete: bytes) -> bool:
        return all(
            EVENT_ID.search(event)
            for event in complete.split(EVENT_END)
            if EVENT_DATA.search(event)
        )

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event in bytes."""
        return self._splitter.buffered_bytes

    def end(self) -> None:
        """End the stream.

        A part of a comment may be left. Raises AttemptFailed if the last event is incomplete, or
        if an earlier attempt had begun an event that has not come. An empty answer after an
        attempt that broke off between events is the whole rest: the last event may have been
        passed on already.
        """
        if self._splitter.discard_partial_event():
            self._next_event_exists = True
            raise AttemptFailed("the stream ended inside an event")
        if self._next_event_exists:
            raise AttemptFailed("the stream ended before an event that had begun")


def _is_next(event_id: str, last_id: str) -> bool:
    """Return whether an event is the next one; any id may follow one that is not a number."""
    if len(event_id) > MAX_ID_DIGITS:
        return False
    if not NUMBER.fullmatch(last_id):
        return True
    return int(event_id) == int(last_id) + 1
