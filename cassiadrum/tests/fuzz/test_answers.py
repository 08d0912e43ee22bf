"""Tests of the parser of endpoints' answers with generated answers, splits and bytes."""

import asyncio
import math
import re
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cassiadrum.gateways import AnswerHead
from cassiadrum.gateways.answer_readers import read_own_head
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.gateways.placement_policies import Demand, PlacementPolicy
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.headers import Header
from cassiadrum.protocols import HttpError
from cassiadrum.tests.gateways.makers import make_call, make_entry, make_prompt

OWN_ID = "own"
OWN_BODY = b"the body of the own answer"
OWN_ANSWER = (
    f"HTTP/1.1 200 OK\r\n{Header.REQUEST_ID}: {OWN_ID}\r\n{Header.SIGNATURE}: s\r\n"
    f"content-length: {len(OWN_BODY)}\r\n\r\n"
).encode() + OWN_BODY
MANY_DIGITS = "9" * 5000


class MemoryTransport(asyncio.Transport):
    """A transport that drops what is written to it."""

    def write(self, data: Any) -> None: ...

    def abort(self) -> None: ...

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0


async def read_answer(pieces: list[bytes], *, eof: bool) -> tuple[AnswerHead, bytes]:
    """Send a request, receive pieces of bytes and return the answer; raise HttpError."""
    conn = EndpointConnection()
    conn.connection_made(MemoryTransport())
    conn.send("GET", "/", (("host", "a"), (Header.REQUEST_ID, OWN_ID)), b"")
    for piece in pieces:
        conn.data_received(piece)
    if eof:
        conn.eof_received()
    async with asyncio.timeout(5.0):
        head = await read_own_head(conn, PlatformProtocol(), OWN_ID)
        body = b""
        while (data := await conn.read_data()) is not None:
            body += data
    return head, body


@st.composite
def foreign_answers(draw: st.DrawFn) -> bytes:
    """Return an answer that names another request, or none."""
    status = draw(st.sampled_from([200, 204, 304, 400, 421, 429, 500, 503]))
    named = draw(st.sampled_from([f"{Header.REQUEST_ID}: other\r\n", ""]))
    not_run = draw(st.sampled_from([f"{Header.NOT_RUN}: 1\r\n", ""]))
    body = draw(st.sampled_from([b"", b"other", OWN_BODY, OWN_ANSWER]))
    head = f"HTTP/1.1 {status} X\r\n{named}{not_run}"
    bodiless = status in (204, 304)
    if not bodiless and draw(st.booleans()):
        framed = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        return f"{head}transfer-encoding: chunked\r\n\r\n".encode() + framed
    body = b"" if bodiless else body
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


@st.composite
def split_bytes(draw: st.DrawFn, data: bytes) -> list[bytes]:
    """Return the bytes in pieces."""
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=6)))
    ends = [*cuts, len(data)]
    return [data[start:end] for start, end in zip([0, *cuts], ends, strict=True) if start < end]


class TestAnswerParser:
    """Guards against an answer to another request, or bytes of none, that are passed on.

    Whatever an endpoint writes, the caller gets the own answer or a failure, in bounded time.
    """

    @settings(max_examples=300, deadline=None)
    @given(st.data(), st.lists(foreign_answers(), max_size=5), st.booleans())
    def test_foreign_answers_cost_at_most_the_own_one(
        self, data: st.DataObject, foreign: list[bytes], eof: bool
    ) -> None:
        sent = b"".join(foreign) + OWN_ANSWER
        pieces = data.draw(split_bytes(sent))
        try:
            head, body = asyncio.run(read_answer(pieces, eof=eof))
        except HttpError:
            heads = [answer.partition(b"\r\n\r\n")[0] for answer in foreign]
            all_named = all(Header.REQUEST_ID.encode() in head for head in heads)
            assert len(foreign) > 3 or not all_named
            return
        assert (head.request_id, head.status, head.not_run) == (OWN_ID, 200, False)
        assert body == OWN_BODY

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200), st.binary(max_size=200), st.data())
    @example(b"HTTP/1.1 200 OK\r\ncontent-length: %s\r\n\r\n" % MANY_DIGITS.encode(), b"", None)
    @example(b"HTTP/1.1 101 X\r\nupgrade: a\r\n\r\n", b"", None)
    def test_any_bytes_end_in_an_answer_or_a_failure(
        self, first: bytes, second: bytes, data: st.DataObject | None
    ) -> None:
        sent = first + OWN_ANSWER[:20] + second
        pieces = [sent] if data is None else data.draw(split_bytes(sent))
        try:
            head, _ = asyncio.run(read_answer(pieces, eof=True))
        except HttpError:
            return
        assert head.request_id == OWN_ID


header_values = st.one_of(
    st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=30),
    st.sampled_from(["-1,-1,-1", "1,2,0", f"{MANY_DIGITS},1,1", "999999999,999999999,1", "nan"]),
    st.lists(st.integers(), min_size=3, max_size=3).map(lambda found: ",".join(map(str, found))),
)
head_lines = st.lists(
    st.tuples(
        st.sampled_from(
            [
                Header.LOAD,
                Header.RETRY_AFTER,
                Header.REQUEST_LIMIT,
                Header.LEAVING,
                Header.REQUEST_ID,
                "keep-alive",
                "content-type",
                "content-encoding",
                "connection",
            ]
        ),
        header_values,
    ),
    max_size=6,
)


class TestAnswerHeads:
    """Guards against a header that breaks the placement of all later requests."""

    @settings(max_examples=300, deadline=None)
    @given(st.integers(200, 599), head_lines)
    def test_decoded_values_can_be_used(self, status: int, lines: list[tuple[str, str]]) -> None:
        head = PlatformProtocol().decode_head(status, tuple(lines))
        for seconds in (head.pause_s, head.idle_s):
            assert seconds is None or (seconds >= 0.0 and not math.isnan(seconds))
        view = EndpointView(make_entry("e-1"), 1000)
        if head.load is not None:
            assert min(head.load) >= 0
            view.record_sample(head.load, 0.0)
        view.request_limit.record_answer(head.limit, 0.0, 0.0)
        demand = Demand(make_call(prompt=make_prompt("p", 1)), 0, 500.0)
        PlacementPolicy("a").choose(demand, [view], 0.0)
        assert view.outstanding(0.0) >= 0


EVENT_PARTS = st.sampled_from(
    [
        *(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(5)),
        b"data: x\n\n",
        b": comment\n\n",
        b"id: x\ndata: y\n\n",
        b"HTTP/1.1 503 X\n\n",
        b"id: ",
        b"\n",
        b"\n\n",
    ]
)
EVENT_ID = re.compile(rb"(?m)^id: (\d+)$")
ANSWER_HEAD = re.compile(rb"(?m)^HTTP/1")


class TestEventSequences:
    """Guards against events that are passed on twice, not at all, or from another stream."""

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.lists(EVENT_PARTS, max_size=6), min_size=1, max_size=4), st.data())
    def test_attempts_are_joined_without_gap_or_repetition(
        self, attempts: list[list[bytes]], data: st.DataObject
    ) -> None:
        events = EventSequence("")
        passed = b""
        for parts in attempts:
            if passed and not events.resumable:
                break
            events.begin_attempt()
            try:
                for piece in data.draw(split_bytes(b"".join(parts))):
                    passed += events.feed(piece)
            except AttemptFailed:
                continue
        ids = [int(found) for found in EVENT_ID.findall(passed)]
        assert ids == list(range(ids[0], ids[0] + len(ids))) if ids else True
        assert not ANSWER_HEAD.search(passed)
        if ids and events.resumable:
            assert events.last_id == str(ids[-1])
