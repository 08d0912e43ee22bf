"""Tests of answers that an endpoint breaks off at any byte of their head or body."""

import asyncio
import socket
import struct
from typing import NamedTuple

import pytest

from cassiadrum.gateways import CallKind, Route, silence_rules
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.gateways.silence_rules import GAP_MULTIPLE
from cassiadrum.platform.headers import Header
from cassiadrum.tests.gateways.cut_answers import (
    NAMED_LINES,
    CallerAnswer,
    Ending,
    EndpointTransport,
    make_connection,
    relay_answers,
)
from cassiadrum.tests.gateways.makers import make_route
from cassiadrum.tests.gateways.sites import Caller, PlatformSite
from cassiadrum.tests.gateways.test_hostile_endpoints import faulty_endpoint, make_head

ATTEMPT_TIMEOUT_S = 5.0
# Silence after which the endpoint of a call is given up, where the route permits it.
LATE_LIMIT_S = 0.05
EVENTS = (b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n")
BODY = b"".join(EVENTS)
CHUNKS = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in EVENTS)
STREAM_LINE = "content-type: text/event-stream"
OTHER_ANSWER = (
    f"HTTP/1.1 200 OK\r\n{Header.REQUEST_ID}: other\r\n{Header.SIGNATURE}: other\r\n"
    "content-length: 5\r\n\r\nother"
).encode()
INTERIM_ANSWER = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
# What comes before the answer on its connection: whether an earlier request, and which bytes.
CONTEXTS = {
    "new": (False, b""),
    "reused": (True, b""),
    "interim answer": (False, INTERIM_ANSWER),
    "answer to another request": (True, OTHER_ANSWER),
}
ENDINGS = (Ending.CLOSED, Ending.RESET_WITH_DATA, Ending.ABORTED)


class Framing(NamedTuple):
    """The head and the framed body of an answer; `sized` unless the connection's end ends it."""

    head: bytes
    body: bytes
    sized: bool
    status: int = 200


def make_framing(
    *lines: str,
    body: bytes = BODY,
    start: str = "HTTP/1.1 200 OK",
    newline: str = "\r\n",
    sized: bool = True,
) -> Framing:
    head = newline.join((start, *NAMED_LINES, STREAM_LINE, *lines, "", "")).encode()
    return Framing(head, body, sized, int(start.split()[1]))


SIZE_LINE = f"content-length: {len(BODY)}"
CHUNKED_LINE = "transfer-encoding: chunked"
EXTENDED_CHUNKS = CHUNKS.replace(b"\r\nid", b';a="b"\r\nid')
FRAMINGS = {
    "length": make_framing(SIZE_LINE),
    "length and close": make_framing(SIZE_LINE, "connection: close"),
    "length twice": make_framing(SIZE_LINE, SIZE_LINE),
    "lines ended by a newline": make_framing(SIZE_LINE, newline="\n"),
    "folded line": make_framing(SIZE_LINE, "x-more: a\r\n b"),
    "chunks": make_framing(CHUNKED_LINE, body=CHUNKS + b"0\r\n\r\n"),
    "chunks, other case": make_framing("Transfer-Encoding: Chunked", body=CHUNKS + b"0\r\n\r\n"),
    "chunks with extensions": make_framing(CHUNKED_LINE, body=EXTENDED_CHUNKS + b"0;c\r\n\r\n"),
    "chunks with trailers": make_framing(CHUNKED_LINE, body=CHUNKS + b"0\r\nx-a: 1\r\n\r\n"),
    "chunks and a length": make_framing(SIZE_LINE, CHUNKED_LINE, body=CHUNKS + b"0\r\n\r\n"),
    "no length": make_framing(sized=False),
    "no length, close": make_framing("connection: close", sized=False),
    "no length, HTTP/1.0": make_framing(start="HTTP/1.0 200 OK", sized=False),
    "length, HTTP/1.0": make_framing(SIZE_LINE, start="HTTP/1.0 200 OK"),
}
ERROR_FRAMINGS = {
    f"{status}, {name}": make_framing(*lines, body=body, start=f"HTTP/1.1 {status} X", sized=sized)
    for status in (404, 500)
    for name, lines, body, sized in (
        ("length", (SIZE_LINE,), BODY, True),
        ("chunks", (CHUNKED_LINE,), CHUNKS + b"0\r\n\r\n", True),
        ("no length", (), BODY, False),
    )
}
# One framing of each kind; the others differ from them in their syntax only.
KINDS = ("length", "chunks", "no length")
IDEMPOTENT_ROUTE = make_route(kind=CallKind.IDEMPOTENT, resumable=False)
ONCE_ROUTE = make_route(kind=CallKind.ONCE, resumable=False)
STREAM_ROUTE = make_route(kind=CallKind.STREAM)


async def cut_answer(
    sent: bytes, ending: Ending, route: Route, *more: bytes, reused: bool
) -> CallerAnswer:
    """Return what a caller gets of cut bytes, with `more` as the answers to further attempts."""
    conns = [await make_connection(sent, ending, reused=reused)]
    conns += [await make_connection(data, Ending.CLOSED, reused=False) for data in more]
    async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
        return await relay_answers(conns, route)


def expected_headers(framing: Framing) -> tuple[tuple[str, str], ...]:
    """Return the headers of a framing that reach the caller."""
    lines = [*NAMED_LINES, STREAM_LINE]
    if b"x-more" in framing.head:
        lines.append("x-more: a b")
    pairs = [line.split(": ") for line in lines]
    return tuple((name, value) for name, value in pairs)


def decode_body(framing: Framing, body_bytes: int) -> bytes:
    """Return the body that can be read from some bytes of its framed form."""
    rest = framing.body[: max(0, body_bytes)]
    if CHUNKED_LINE.encode() not in framing.head.lower():
        return rest
    body = b""
    while (line := rest.partition(b"\r\n"))[1]:
        size = int(line[0].partition(b";")[0], 16)
        if not size:
            break
        body += line[2][:size]
        rest = line[2][size + 2 :]
    return body


def is_whole(framing: Framing, body_bytes: int, ending: Ending) -> bool:
    """Return whether an answer is complete by the protocol after some bytes of its body."""
    if framing.sized:
        return body_bytes == len(framing.body)
    return body_bytes >= 0 and ending.orderly


class TestCutAnswers:
    """Guards against an answer that is broken off and reaches the caller framed as whole.

    An endpoint stops at any byte of the head or body. The caller gets the whole answer with its
    status and headers, a failure, or a connection that visibly breaks off.
    """

    @pytest.mark.parametrize(
        "framing", [*FRAMINGS.values(), *ERROR_FRAMINGS.values()], ids=[*FRAMINGS, *ERROR_FRAMINGS]
    )
    async def test_plain_answer(self, framing: Framing) -> None:
        for ending in ENDINGS:
            await self._cut_plain_answer(framing, ending, IDEMPOTENT_ROUTE)

    @pytest.mark.parametrize("name", KINDS)
    async def test_plain_answer_to_a_once_only_call(self, name: str) -> None:
        for ending in (Ending.CLOSED_WITH_DATA, Ending.RESET):
            await self._cut_plain_answer(FRAMINGS[name], ending, ONCE_ROUTE)

    @pytest.mark.parametrize("context", list(CONTEXTS)[1:])
    @pytest.mark.parametrize("name", KINDS)
    async def test_plain_answer_after_other_bytes(self, name: str, context: str) -> None:
        for ending in ENDINGS:
            await self._cut_plain_answer(FRAMINGS[name], ending, IDEMPOTENT_ROUTE, context)

    @pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS)
    async def test_stream(self, framing: Framing) -> None:
        for ending in ENDINGS:
            await self._cut_stream(framing, ending)

    @pytest.mark.parametrize("context", list(CONTEXTS)[1:])
    @pytest.mark.parametrize("name", KINDS)
    async def test_stream_after_other_bytes(self, name: str, context: str) -> None:
        for ending in (Ending.CLOSED_WITH_DATA, Ending.RESET):
            await self._cut_stream(FRAMINGS[name], ending, context)

    @staticmethod
    async def _cut_plain_answer(
        framing: Framing, ending: Ending, route: Route, context: str = "new"
    ) -> None:
        reused, prefix = CONTEXTS[context]
        sent = prefix + framing.head + framing.body
        for cut in range(len(sent) + 1):
            answer = await cut_answer(sent[:cut], ending, route, reused=reused)
            body_bytes = cut - len(prefix) - len(framing.head)
            if is_whole(framing, body_bytes, ending):
                body = BODY if framing.sized else BODY[:body_bytes]
                headers = expected_headers(framing)
                assert answer == (framing.status, headers, body, True), (ending, cut)
            else:
                assert (answer.status, answer.whole) == (502, True), (ending, cut)
                assert Header.SIGNATURE not in dict(answer.headers)

    @staticmethod
    async def _cut_stream(framing: Framing, ending: Ending, context: str = "new") -> None:
        reused, prefix = CONTEXTS[context]
        sent = prefix + framing.head + framing.body
        for cut in range(len(sent) + 1):
            answer = await cut_answer(sent[:cut], ending, STREAM_ROUTE, reused=reused)
            body_bytes = cut - len(prefix) - len(framing.head)
            received = decode_body(framing, body_bytes)
            # An endpoint that ends a stream without a length between two events is believed.
            if is_whole(framing, body_bytes, ending) and received in (b"", EVENTS[0], BODY):
                headers = expected_headers(framing)
                assert answer == (200, headers, received, True), (ending, cut)
            elif answer.status == 200:
                assert not answer.whole, (ending, cut)
                assert answer.body in (EVENTS[0], BODY), (ending, cut)
                assert answer.headers == expected_headers(framing)
            else:
                assert (answer.status, answer.whole) == (502, True), (ending, cut)


# Answers of which only a part comes before the own answer.
PARTS = {
    "answer to another request": OTHER_ANSWER,
    "answer without an id": b"HTTP/1.1 500 X\r\ncontent-length: 5\r\n\r\nerror",
    "refusal": f"HTTP/1.1 503 X\r\n{Header.NOT_RUN}: 1\r\ncontent-length: 0\r\n\r\n".encode(),
    "interim answer": INTERIM_ANSWER,
    "own answer": FRAMINGS["length"].head + BODY,
}


class TestAnswersAfterCutOnes:
    """Guards against an answer that is made of the beginning of one head and the end of another.

    An endpoint stops at any byte of an answer and writes the next one on the same connection.
    """

    @pytest.mark.parametrize("part", PARTS.values(), ids=PARTS)
    async def test_heads_are_not_joined(self, part: bytes) -> None:
        framing = FRAMINGS["length"]
        own = (200, expected_headers(framing), BODY, True)
        for cut in range(len(part)):
            sent = part[:cut] + framing.head + framing.body
            # A body that is cut takes up bytes of the next answer, which its length permits.
            if cut > part.index(b"\r\n\r\n"):
                break
            answer = await cut_answer(sent, Ending.CLOSED, ONCE_ROUTE, reused=True)
            assert answer == own or (answer.status, answer.whole) == (502, True), cut


class TestCutStreams:
    """Guards against a stream that lacks events, or has them twice, after a second attempt."""

    @pytest.mark.parametrize("rest", [b"", EVENTS[1], BODY], ids=["empty", "rest", "fresh"])
    @pytest.mark.parametrize("name", KINDS)
    async def test_rest_from_a_second_endpoint(self, name: str, rest: bytes) -> None:
        framing = FRAMINGS[name]
        sent = framing.head + framing.body
        second = make_framing(f"content-length: {len(rest)}", body=rest)
        for ending in (Ending.CLOSED, Ending.RESET_WITH_DATA):
            for cut in range(len(sent) + 1):
                answer = await cut_answer(
                    sent[:cut], ending, STREAM_ROUTE, second.head + rest, reused=False
                )
                expected = self._expected_body(framing, cut, ending, rest)
                where = (ending, cut)
                if expected is not None:
                    assert answer == (200, expected_headers(second), expected, True), where
                elif answer.status == 200:
                    assert not answer.whole, where
                    assert BODY.startswith(answer.body), where
                else:
                    assert (answer.status, answer.whole) == (502, True), where

    @staticmethod
    def _expected_body(framing: Framing, cut: int, ending: Ending, rest: bytes) -> bytes | None:
        """Return the body of the caller's stream, None if it has to break off."""
        body_bytes = cut - len(framing.head)
        received = decode_body(framing, body_bytes)
        if is_whole(framing, body_bytes, ending) and received in (b"", EVENTS[0], BODY):
            return received
        passed = (
            BODY if received == BODY else EVENTS[0] if len(received) >= len(EVENTS[0]) else b""
        )
        if not rest:
            # Half an event proves that the stream goes on.
            return passed if received == passed else None
        if not passed:
            return rest
        return BODY if (passed, rest) == EVENTS else None


class TestEndsAtTheSilenceLimit:
    """Guards against a part that is framed as whole if the end arrives as the wait is given up."""

    @pytest.mark.parametrize("iterations", [-1, 0, 1, 2, 3])
    @pytest.mark.parametrize("name", KINDS)
    @pytest.mark.parametrize("kind", [CallKind.IDEMPOTENT, CallKind.STREAM], ids=str)
    async def test_answer_is_whole_or_visibly_cut(
        self, monkeypatch: pytest.MonkeyPatch, kind: CallKind, name: str, iterations: int
    ) -> None:
        """The rest arrives `iterations` of the event loop after the limit, -1 for just before."""
        for limit in ("MIN_FIRST_BYTES_SILENCE_S", "MIN_EVENT_SILENCE_S", "SOUND_PAUSE_S"):
            monkeypatch.setattr(silence_rules, limit, LATE_LIMIT_S)
        framing = FRAMINGS[name]
        sent = framing.head + framing.body
        # Inside the second event, in chunks as well.
        cut = len(framing.head) + len(EVENTS[0]) + 14
        conn = EndpointConnection()
        transport = EndpointTransport(conn)
        transport.add_answer(sent[:cut], None)
        conn.connection_made(transport)
        expire = SilenceLimit._expire
        expirations = 0

        def receive_rest(iterations_left: int) -> None:
            if iterations_left > 0:
                asyncio.get_running_loop().call_soon(receive_rest, iterations_left - 1)
                return
            conn.data_received(sent[cut:])
            conn.eof_received()

        def expire_with_rest(limit: SilenceLimit) -> None:
            nonlocal expirations
            expirations += 1
            if iterations < 0:
                receive_rest(0)
            expire(limit)
            if iterations >= 0:
                receive_rest(iterations)

        monkeypatch.setattr(SilenceLimit, "_expire", expire_with_rest)
        second = await make_connection(make_framing("content-length: 0").head, Ending.CLOSED)
        limits = {"target_s": LATE_LIMIT_S, "gap_s": LATE_LIMIT_S / GAP_MULTIPLE}
        route = make_route(kind=kind, timeout_s=LATE_LIMIT_S * 100, **limits)
        answer = await relay_answers([conn, second], route)
        assert expirations == 1
        if kind is CallKind.IDEMPOTENT:
            # The second endpoint's own answer is empty.
            assert answer.whole
            assert answer.body in (BODY, b"")
        else:
            assert answer.whole == (answer.body == BODY)


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make the connection end by a reset when it is closed."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


# The ends of answers that break off, after the lines that name the request.
CUT_ENDS = {
    "no line": b"",
    "part of a size": b"content-length: 8",
    "part of a name": b"transfer-enc",
    "no empty line": b"content-length: 0\r\n",
    "half an empty line": b"content-length: 0\r\n\r",
    "no body": b"content-length: 3\r\n\r\n",
    "part of a body": b"content-length: 3\r\n\r\nok",
    "no last chunk": b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    "half a last chunk": b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
}


@pytest.mark.integration
class TestCutAnswersOfProcesses:
    """Guards against a cut answer that a gateway process passes on as whole."""

    @pytest.mark.parametrize("path", ["/once/a", "/safe/a"])
    @pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
    async def test_cut_answer_is_a_failure(
        self, site: PlatformSite, caller: Caller, path: str, reset: bool
    ) -> None:
        ends = list(CUT_ENDS.values())
        # Without a length, only a reset shows that the answer is cut.
        ends += [b"\r\n", b"\r\nok"] if reset else []
        calls = 0

        async def serve(request_id: str, writer: asyncio.StreamWriter) -> None:
            writer.write(make_head(request_id) + ends[calls])
            if reset:
                # Lets the bytes arrive before the reset, which may overtake them.
                await asyncio.sleep(0.02)
                reset_on_close(writer)

        async with faulty_endpoint(site, "p-1", serve, removed="p-2"):
            while calls < len(ends):
                status, headers, _ = await caller.call(path)
                assert (status, ends[calls]) == (502, ends[calls])
                assert Header.SIGNATURE not in headers
                calls += 1

    async def test_answer_without_a_length_is_whole_after_an_orderly_close(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        async def serve(request_id: str, writer: asyncio.StreamWriter) -> None:
            writer.write(make_head(request_id) + b"\r\nok")

        async with faulty_endpoint(site, "p-1", serve, removed="p-2"):
            status, _, body = await caller.call("/once/a")
        assert (status, body) == (200, b"ok")
