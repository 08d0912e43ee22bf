"""Tests of the count of events in a stream."""

import pytest

from cassiadrum.frontends import EventSplitter

EVENT = b'data: {"text": "a"}\n\n'


class TestEventCount:
    """Guards against events that are missing or come twice after a stream was resumed.

    The count tells the next endpoint how many events the caller has.
    """

    @pytest.mark.parametrize(
        ("stream", "events"),
        [
            (EVENT * 3, 3),
            (EVENT + b"data: [DONE]\n\n", 1),
            (b": idle\n\n" + EVENT + b": idle\n\n" + EVENT, 2),
            (b": idle\n" + EVENT, 1),
            (EVENT + b"\n\n" + EVENT, 2),
            (EVENT + b"\n" + EVENT, 2),
            (b'data: {"text": "data: [DONE]"}\n\n' + EVENT, 2),
            (b"event: x\ndata: y\n\n", 1),
        ],
        ids=[
            "events",
            "end",
            "comments between events",
            "comment within an event",
            "empty events",
            "empty line",
            "end quoted in an event",
            "several lines",
        ],
    )
    def test_comments_and_the_end_are_no_events(self, stream: bytes, events: int) -> None:
        for size in range(1, len(stream) + 1):
            splitter = EventSplitter()
            passed = b"".join(
                splitter.feed(stream[start : start + size])
                for start in range(0, len(stream), size)
            )
            assert (passed + splitter.take_rest(), splitter.events) == (stream, events), size
