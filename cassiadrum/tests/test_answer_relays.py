"""Tests of the relay of answers to callers."""

import pytest

from cassiadrum.decisions import ExecutionStatus, Outcome, QueuedRequest
from cassiadrum.documents import parse_document
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links.messages import Head
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.answer_relays import AnswerRelay
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import AnswerData
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.tests.test_documents import example

STREAM = [("content-type", "text/event-stream")]
JSON = [("content-type", "application/json")]


def make_pending() -> PendingRequest:
    cls = parse_document(example("sprachdienst")).classes[0]
    req = QueuedRequest("r", "sprachdienst", cls.name, cls.tier, False, "c", 0.0)
    return PendingRequest(req, cls, HttpRequest("POST", "/", (), b""), "/", "")


def make_relay() -> AnswerRelay:
    return AnswerRelay(EventRing(HybridLogicalClock(lambda: 1.0), "entry-1", "entry", "start"))


def delivered_bytes(pending: PendingRequest) -> bytes:
    events = [pending.caller_events.get_nowait() for _ in range(pending.caller_events.qsize())]
    return b"".join(event.data for event in events if isinstance(event, AnswerData))


class TestAnswerRelay:
    """Guards against bytes of a failed attempt, or of another type of answer, in a stream.

    A retry continues an event stream after its last complete event, and a link that is attached
    again may repeat bytes.
    """

    def test_second_attempt_continues_after_whole_events(self) -> None:
        relay, pending = make_relay(), make_pending()
        first, second = Attempt("r.1", "r", "e1", 0.0), Attempt("r.2", "r", "e2", 0.0)
        relay.receive_head(pending, first, Head("r.1", 200, STREAM))
        relay.receive_data(pending, first, 0, b"data: 1\n\ndata: 2", 0.1)
        relay.discard_partial(pending, first)
        relay.receive_head(pending, second, Head("r.2", 200, STREAM))
        relay.receive_data(pending, second, 0, b"data: 2\n\ndata: [DONE]\n\n", 0.2)
        relay.finish(pending, second)
        assert delivered_bytes(pending) == b"data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"

    def test_repeated_bytes_are_skipped(self) -> None:
        relay, pending = make_relay(), make_pending()
        attempt = Attempt("r.1", "r", "e1", 0.0)
        relay.receive_head(pending, attempt, Head("r.1", 200, STREAM))
        relay.receive_data(pending, attempt, 0, b"data: 1\n\n", 0.1)
        relay.receive_data(pending, attempt, 4, b": 1\n\ndata: 2\n\n", 0.2)
        assert delivered_bytes(pending) == b"data: 1\n\ndata: 2\n\n"

    def test_stream_without_a_complete_event_may_be_retried(self) -> None:
        relay, pending = make_relay(), make_pending()
        attempt = Attempt("r.1", "r", "e1", 0.0)
        relay.receive_head(pending, attempt, Head("r.1", 200, STREAM))
        failure = Outcome(False, ExecutionStatus.UNKNOWN, reason="answer_lost")
        assert relay.restrict_retry(pending, failure) == failure

    def test_plain_answer_does_not_continue_a_stream(self) -> None:
        relay, pending = make_relay(), make_pending()
        first, second = Attempt("r.1", "r", "e1", 0.0), Attempt("r.2", "r", "e2", 0.0)
        relay.receive_head(pending, first, Head("r.1", 200, STREAM))
        relay.discard_partial(pending, first)
        relay.receive_head(pending, second, Head("r.2", 500, JSON))
        relay.receive_data(pending, second, 0, b"{}", 0.1)
        assert not relay.is_compatible(pending, second)
        assert delivered_bytes(pending) == b""

    def test_error_in_the_form_of_a_stream_does_not_continue_a_stream(self) -> None:
        relay, pending = make_relay(), make_pending()
        first, second = Attempt("r.1", "r", "e1", 0.0), Attempt("r.2", "r", "e2", 0.0)
        relay.receive_head(pending, first, Head("r.1", 200, STREAM))
        relay.receive_data(pending, first, 0, b"data: 1\n\n", 0.1)
        relay.discard_partial(pending, first)
        relay.receive_head(pending, second, Head("r.2", 503, STREAM))
        relay.receive_data(pending, second, 0, b"data: overloaded\n\n", 0.2)
        assert not relay.is_compatible(pending, second)
        assert delivered_bytes(pending) == b"data: 1\n\n"


class TestBegunEvents:
    """Guards against a stream that is complete before an event that was known to follow.

    An attempt that broke off inside an event proves that the event exists, so an attempt that ends
    without it did not give the whole rest.
    """

    @pytest.mark.parametrize("begun", [b"d", b"data: 2\n", b": idle\ndata"])
    @pytest.mark.parametrize(
        "rest", [b"", b"data: 2", b": idle\n\n"], ids=["empty", "cut again", "comment"]
    )
    def test_answer_without_the_event_is_not_whole(self, begun: bytes, rest: bytes) -> None:
        relay, pending = make_relay(), make_pending()
        self._break_off(relay, pending, b"data: 1\n\n" + begun)
        for number in (2, 3):
            attempt = Attempt(f"r.{number}", "r", "e2", 0.0)
            relay.receive_head(pending, attempt, Head(attempt.attempt_id, 200, STREAM))
            relay.receive_data(pending, attempt, 0, rest, 0.2)
            assert not relay.is_whole(pending, attempt)
            relay.discard_partial(pending, attempt)
        assert delivered_bytes(pending).replace(b": idle\n\n", b"") == b"data: 1\n\n"

    @pytest.mark.parametrize("event", [b"data: 2\n\n", b"data: [DONE]\n\n"], ids=["event", "done"])
    def test_answer_with_the_event_is_whole(self, event: bytes) -> None:
        relay, pending = make_relay(), make_pending()
        self._break_off(relay, pending, b"data: 1\n\ndata")
        attempt = Attempt("r.2", "r", "e2", 0.0)
        relay.receive_head(pending, attempt, Head("r.2", 200, STREAM))
        relay.receive_data(pending, attempt, 0, event, 0.2)
        assert relay.is_whole(pending, attempt)

    @pytest.mark.parametrize("tail", [b"", b": idle"])
    def test_empty_answer_between_events_is_whole(self, tail: bytes) -> None:
        relay, pending = make_relay(), make_pending()
        self._break_off(relay, pending, b"data: 1\n\n" + tail)
        attempt = Attempt("r.2", "r", "e2", 0.0)
        relay.receive_head(pending, attempt, Head("r.2", 200, STREAM))
        assert relay.is_whole(pending, attempt)

    @staticmethod
    def _break_off(relay: AnswerRelay, pending: PendingRequest, data: bytes) -> None:
        attempt = Attempt("r.1", "r", "e1", 0.0)
        relay.receive_head(pending, attempt, Head("r.1", 200, STREAM))
        relay.receive_data(pending, attempt, 0, data, 0.1)
        relay.discard_partial(pending, attempt)
