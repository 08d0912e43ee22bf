"""Tests of a stream that breaks off and is taken up by an endpoint that gives no stream."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.platform.headers import Header
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import DRAIN_S, PlatformSite

# Events before the first stream breaks off.
CUT_AFTER = 3
STREAM_LINES = ("content-type: text/event-stream", "transfer-encoding: chunked")


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(request_id: str, status: int, *lines: str) -> bytes:
    named = (f"{Header.REQUEST_ID}: {request_id}", f"{Header.SIGNATURE}: signed-by-second")
    return "\r\n".join((f"HTTP/1.1 {status} X", *named, *lines, "", "")).encode()


def text_answer(request_id: str, status: int, media_type: str = "text/plain") -> bytes:
    body = b"data: the text of an error\n\n"
    lines = (f"content-type: {media_type}", f"content-length: {len(body)}")
    return head(request_id, status, *lines) + body


def stream(request_id: str, *events: bytes) -> bytes:
    chunks = b"".join(map(chunk, events))
    return head(request_id, 200, *STREAM_LINES) + chunks + b"0\r\n\r\n"


# Answers to the second attempt; `{id}` stands for the request's id.
WRONG_ANSWERS = {
    "error 400": text_answer("{id}", 400),
    "error 500": text_answer("{id}", 500),
    "error 503": text_answer("{id}", 503),
    "redirect": head("{id}", 307, "location: /elsewhere", "content-length: 0"),
    "no content": head("{id}", 204),
    "error as an event stream": text_answer("{id}", 500, "text/event-stream"),
    "other media type": text_answer("{id}", 200, "application/json"),
    "no media type": head("{id}", 200, "content-length: 28") + b"data: the text of an error\n\n",
    "fresh stream": stream("{id}", *map(event, range(1, 9))),
    "later stream": stream("{id}", *map(event, range(6, 9))),
    "event without an id": stream("{id}", b"event: error\ndata: failed\n\n"),
    "event without an id after others": stream("{id}", event(4), b"data: failed\n\n"),
    "head inside the stream": head("{id}", 200, "content-type: text/event-stream")
    + event(4)
    + text_answer("old", 503).replace(b"\r\n", b"\n")
    + event(5),
}


@contextlib.asynccontextmanager
async def broken_stream(
    site: PlatformSite, first_events: bytes, second_answer: bytes
) -> AsyncIterator[list[str]]:
    """Run two endpoints: a request's first attempt breaks off, the second gets an answer.

    Yields the ids of the requests that arrived, once for each attempt.
    """
    attempts: list[str] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            if text.startswith("get /-/report"):
                report = b'{"running":0,"waiting":0}'
                writer.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % len(report))
                writer.write(report)
            else:
                request_id = text.partition(f"{Header.REQUEST_ID}: ")[2].partition("\r\n")[0]
                if request_id not in attempts:
                    writer.write(head(request_id, 200, *STREAM_LINES) + chunk(first_events))
                else:
                    writer.write(second_answer.replace(b"{id}", request_id.encode()))
                attempts.append(request_id)
            await writer.drain()
        writer.close()

    servers = []
    for name in ("e-1", "e-2"):
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        servers.append(server)
        site.endpoints[name].address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        site.register(name)
    await asyncio.sleep(DRAIN_S)
    try:
        yield attempts
    finally:
        for server in servers:
            server.close()


async def read_stream(port: int, request_id: str) -> tuple[bytes, bool]:
    """Return the body of a stream as far as it arrives, and whether it ends as complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /stream/a HTTP/1.1\r\nhost: 127.0.0.1\r\n{Header.REQUEST_ID}: {request_id}\r\n"
        f"{Header.API_KEY}: key-1\r\n{Header.TOKENS}: 100,8\r\n{Header.PROMPT_PARTS}: aa:100\r\n"
        "content-length: 2\r\n\r\n{}".encode()
    )
    body = b""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        return body, True
    writer.close()
    return body, False


@pytest.mark.integration
class TestResumedStreams:
    """Guards against a stream that contains or ends with what another endpoint answered instead.

    The caller gets the events before the stream broke off, at most followed by the next ones, and
    sees that the stream is incomplete.
    """

    @pytest.mark.parametrize("answer", WRONG_ANSWERS.values(), ids=WRONG_ANSWERS)
    async def test_wrong_answer_does_not_reach_the_caller(
        self, site: PlatformSite, gateway: GatewaySubprocess, answer: bytes
    ) -> None:
        await gateway.wait_ready()
        first = b"".join(map(event, range(1, CUT_AFTER + 1)))
        async with broken_stream(site, first, answer) as attempts:
            body, complete = await read_stream(gateway.calls_port, "cut")
        assert attempts == ["cut", "cut"]
        assert not complete
        # A whole event that came before the wrong bytes may have been passed on.
        assert body in (first, first + event(CUT_AFTER + 1))

    async def test_stream_goes_on_at_the_last_event(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        first = b"".join(map(event, range(1, CUT_AFTER + 1)))
        rest = [event(number) for number in range(CUT_AFTER + 1, 9)]
        async with broken_stream(site, first, stream("{id}", *rest)) as attempts:
            body, complete = await read_stream(gateway.calls_port, "cut")
        assert attempts == ["cut", "cut"]
        assert (body, complete) == (first + b"".join(rest), True)

    @pytest.mark.parametrize("broken", [event(4)[:3], event(4)[:-1]], ids=["start", "last byte"])
    @pytest.mark.parametrize("rest", [(), (b": idle\n\n",)], ids=["empty", "comment"])
    async def test_empty_rest_after_half_an_event_is_not_complete(
        self,
        site: PlatformSite,
        gateway: GatewaySubprocess,
        broken: bytes,
        rest: tuple[bytes, ...],
    ) -> None:
        """Guards against a stream that is closed as complete though its next event had begun."""
        await gateway.wait_ready()
        first = b"".join(map(event, range(1, CUT_AFTER + 1)))
        async with broken_stream(site, first + broken, stream("{id}", *rest)) as attempts:
            body, complete = await read_stream(gateway.calls_port, "cut")
        assert attempts == ["cut", "cut"]
        assert (body, complete) == (first + b"".join(rest), False)

    async def test_empty_rest_after_the_last_event_is_complete(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        first = b"".join(map(event, range(1, CUT_AFTER + 1)))
        async with broken_stream(site, first, stream("{id}")) as attempts:
            body, complete = await read_stream(gateway.calls_port, "cut")
        assert attempts == ["cut", "cut"]
        assert (body, complete) == (first, True)

    @pytest.mark.parametrize(
        "first",
        [b"data: a\n\ndata: b\n\n", b"id: x\ndata: a\n\n", event(1) + b"data: b\n\n"],
        ids=["no ids", "id that is no number", "one event without an id"],
    )
    async def test_stream_without_ids_is_not_resumed(
        self, site: PlatformSite, gateway: GatewaySubprocess, first: bytes
    ) -> None:
        """Guards against events that come twice: where to go on cannot be told."""
        await gateway.wait_ready()
        async with broken_stream(site, first, stream("{id}", first, b"data: c\n\n")) as attempts:
            body, complete = await read_stream(gateway.calls_port, "cut")
        assert attempts == ["cut"]
        assert (body, complete) == (first, False)


class TestFailedEvents:
    """Guards against events that are left out because a failed read had moved the position."""

    def test_position_stays_at_the_last_event_that_was_passed_on(self) -> None:
        events = EventSequence("")
        assert events.feed(event(1)) == event(1)
        with pytest.raises(AttemptFailed):
            events.feed(event(2) + event(3) + event(7))
        assert events.last_id == "1"
        events.begin_attempt()
        assert events.feed(event(2)) == event(2)


class TestBegunEvents:
    """Guards against a stream that ends as complete before an event that was known to follow.

    An attempt that broke off inside an event proves that the event exists, also when the next
    attempts bring nothing or break off as well.
    """

    @pytest.mark.parametrize("end", range(1, len(event(2))))
    def test_answer_without_the_event_is_not_the_rest(self, end: int) -> None:
        events = EventSequence("")
        events.feed(event(1) + event(2)[:end])
        for rest in (b"", b": idle\n\n", b"", event(2)[:1]):
            events.begin_attempt()
            assert events.feed(rest) in (rest, b"")
            with pytest.raises(AttemptFailed):
                events.end()

    @pytest.mark.parametrize("end", range(1, len(event(2))))
    def test_answer_with_the_event_is_the_rest(self, end: int) -> None:
        events = EventSequence("")
        events.feed(event(1) + event(2)[:end])
        events.begin_attempt()
        events.begin_attempt()
        assert events.feed(event(2)) == event(2)
        events.end()

    def test_whole_event_that_was_not_passed_on_has_to_come(self) -> None:
        events = EventSequence("")
        events.feed(event(1))
        with pytest.raises(AttemptFailed):
            events.feed(event(2) + event(7))
        events.begin_attempt()
        with pytest.raises(AttemptFailed):
            events.end()

    def test_half_an_event_of_a_stream_without_a_whole_one(self) -> None:
        events = EventSequence("")
        events.feed(b"id: 1\nda")
        events.begin_attempt()
        with pytest.raises(AttemptFailed):
            events.end()

    @pytest.mark.parametrize("tail", [b"", b"\n", b": idle", b": idle\n"])
    def test_empty_answer_between_events_is_the_rest(self, tail: bytes) -> None:
        events = EventSequence("")
        events.feed(event(1) + tail)
        events.begin_attempt()
        events.end()

    @pytest.mark.parametrize("tail", [b": idle", b": idle\n", b"\n"])
    def test_part_of_a_comment_does_not_fail_a_whole_stream(self, tail: bytes) -> None:
        events = EventSequence("")
        assert events.feed(event(1) + tail).startswith(event(1))
        events.end()

    def test_part_of_an_event_fails_the_stream(self) -> None:
        events = EventSequence("")
        events.feed(event(1) + event(2)[:-1])
        with pytest.raises(AttemptFailed):
            events.end()
