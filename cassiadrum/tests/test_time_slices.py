"""Tests of the time slices in which received bytes are processed."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import h11
import pytest

from cassiadrum.frontends.server_sent_events import EventSplitter
from cassiadrum.gateways.endpoint_connections import MAX_FRAMING_BYTES, EndpointConnection
from cassiadrum.metrics import LoopDelay
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.protocols import (
    MAX_HEADERS,
    BadMessage,
    Exchange,
    HttpClient,
    HttpServer,
    time_slices,
)
from cassiadrum.roles.inboxes import Inbox
from cassiadrum.settings.addresses import Address

# All of them arrive in one read of the connection.
CHUNKS = 2000
TINY_CHUNKS = b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.fixture
def no_slice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let every checkpoint suspend its task, so that the checkpoints can be counted."""
    monkeypatch.setattr(time_slices, "SLICE_S", 0.0)


async def count_turns(work: Awaitable[object]) -> int:
    """Return how often another task ran while `work` was done."""
    turns = 0

    async def take_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    task = asyncio.create_task(take_turns())
    try:
        await work
    finally:
        task.cancel()
    return turns


async def serve_bytes(data: bytes) -> asyncio.Server:
    """Serve the same bytes on every connection once a request has arrived."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        await reader.read()
        writer.close()

    return await asyncio.start_server(accept, "127.0.0.1", 0)


@pytest.fixture
async def endpoint() -> AsyncIterator[Callable[[bytes], Awaitable[EndpointConnection]]]:
    """Return a function that sends a request, and returns the connection to read its answer."""
    servers = []

    async def ask(answer: bytes) -> EndpointConnection:
        server = await serve_bytes(answer)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        conn = await EndpointConnection.open(Address("127.0.0.1", port), 1.0)
        conn.send("GET", "/", (("host", "a"),), b"")
        return conn

    yield ask
    for server in servers:
        server.close()


async def read_all(conn: EndpointConnection) -> bytes:
    await conn.read_head()
    body = b""
    while (data := await conn.read_data()) is not None:
        body += data
    return body


@pytest.mark.usefixtures("no_slice")
class TestCheckpoints:
    """Guards against a path that processes many pieces without letting other tasks run."""

    async def test_answer_of_an_endpoint(
        self, endpoint: Callable[[bytes], Awaitable[EndpointConnection]]
    ) -> None:
        conn = await endpoint(CHUNKED_HEAD + TINY_CHUNKS)
        assert await count_turns(read_all(conn)) >= CHUNKS

    async def test_response_to_a_client(self) -> None:
        server = await serve_bytes(CHUNKED_HEAD + TINY_CHUNKS)
        client = HttpClient("127.0.0.1", server.sockets[0].getsockname()[1])
        response = await client.request("GET", "/")
        assert await count_turns(response.read()) >= CHUNKS
        client.close()
        server.close()

    @pytest.mark.parametrize(
        "data",
        [
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + TINY_CHUNKS,
            b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" * CHUNKS,
        ],
        ids=["chunks of one request", "pipelined requests"],
    )
    async def test_requests_of_a_caller(self, data: bytes) -> None:
        last = asyncio.Event()
        requests = 0

        async def handle(exchange: Exchange) -> None:
            nonlocal requests
            requests += 1
            await exchange.send(200, b"", "text/plain")
            if exchange.req.body or requests == CHUNKS:
                last.set()

        server = HttpServer(handle)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def send() -> None:
            discard = asyncio.create_task(reader.read())
            writer.write(data)
            await last.wait()
            discard.cancel()

        assert await count_turns(send()) >= CHUNKS
        writer.close()
        await server.abort()

    async def test_messages_to_a_role(self) -> None:
        inbox = Inbox[int]()
        for number in range(CHUNKS):
            inbox.put(number)

        async def take_all() -> None:
            assert [await inbox.get() for _ in range(CHUNKS)] == list(range(CHUNKS))

        assert await count_turns(take_all()) >= CHUNKS

    async def test_rows_of_the_store(self) -> None:
        row = b'{"key":"a","value":"eA=="}'
        rows = b",".join([row] * CHUNKS)
        body = b'{"ver":1,"now_ms":1,"rows":[' + rows + b"]}"
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        server = await serve_bytes(head + body)
        store = RowStore(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        assert await count_turns(store.read_all("t")) >= CHUNKS
        store.close()
        server.close()


class TestCostOfPieces:
    """Guards against pieces that cost more the more came before, or more than their bytes."""

    def test_event_in_single_bytes(self) -> None:
        """Copying the buffer for each byte would take minutes."""
        splitter = EventSplitter()
        size = 1024 * 1024
        assert all(splitter.feed(b"x") == b"" for _ in range(size))
        assert splitter.feed(b"\n") == b""
        assert splitter.feed(b"\nrest") == b"x" * size + b"\n\n"
        assert splitter.take_rest() == b"rest"

    async def test_tiny_chunks_are_returned_together(
        self, endpoint: Callable[[bytes], Awaitable[EndpointConnection]]
    ) -> None:
        conn = await endpoint(CHUNKED_HEAD + TINY_CHUNKS)
        await conn.read_head()
        parts = []
        while (data := await conn.read_data()) is not None:
            parts.append(data)
        assert b"".join(parts) == b"x" * CHUNKS
        assert len(parts) < CHUNKS / 10
        assert conn.finish()

    @pytest.mark.parametrize(
        "answer",
        [
            CHUNKED_HEAD + (b"1;" + b"a" * 1000 + b"\r\nx\r\n") * (MAX_FRAMING_BYTES // 1000 + 20),
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * (MAX_HEADERS + 1) + b"\r\n",
            b"HTTP/1.1 102 X\r\n\r\n" * 9 + b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ],
        ids=["framing", "header lines", "interim answers"],
    )
    async def test_answer_with_little_but_framing_is_rejected(
        self, endpoint: Callable[[bytes], Awaitable[EndpointConnection]], answer: bytes
    ) -> None:
        conn = await endpoint(answer)
        with pytest.raises(BadMessage):
            await read_all(conn)
        conn.abort()


def answer_with_headers(count: int, status: bytes = b"200 OK") -> bytes:
    """Return an answer without a body whose head has a number of short header lines."""
    return b"HTTP/1.1 %b\r\ncontent-length: 0\r\n" % status + b"a:\r\n" * (count - 1) + b"\r\n"


class TestLinesOfHeads:
    """Guards against heads and trailers of many lines, each parsed in one turn of the event loop.

    h11 takes about 2 us for a line, and 16 KiB hold 4,000 short ones. A few endpoints that send
    such heads without end delayed the timers of their gateway by over 0.25 s beside other load.
    """

    @pytest.fixture
    def parsed_lines(self, monkeypatch: pytest.MonkeyPatch) -> list[int]:
        """Return a list of the numbers of header lines that each call of the parser returned."""
        counts: list[int] = []
        next_event = h11.Connection.next_event

        def count_lines(conn: h11.Connection) -> object:
            event = next_event(conn)
            counts.append(len(getattr(event, "headers", ())))
            return event

        monkeypatch.setattr(h11.Connection, "next_event", count_lines)
        return counts

    @pytest.mark.parametrize("status", [b"200 OK", b"102 X"])
    @pytest.mark.parametrize("end", [None, -2], ids=["whole head", "head without its end"])
    async def test_long_head_is_not_parsed(
        self,
        endpoint: Callable[[bytes], Awaitable[EndpointConnection]],
        parsed_lines: list[int],
        status: bytes,
        end: int | None,
    ) -> None:
        conn = await endpoint(answer_with_headers(MAX_HEADERS + 1, status)[:end])
        async with asyncio.timeout(5.0):
            with pytest.raises(BadMessage):
                await conn.read_head()
        conn.abort()
        assert set(parsed_lines) <= {0}

    async def test_client_does_not_parse_a_long_head(self, parsed_lines: list[int]) -> None:
        server = await serve_bytes(answer_with_headers(MAX_HEADERS + 1))
        client = HttpClient("127.0.0.1", server.sockets[0].getsockname()[1])
        with pytest.raises(BadMessage):
            await client.request("GET", "/")
        server.close()
        assert set(parsed_lines) <= {0}

    async def test_longest_head_is_accepted(
        self, endpoint: Callable[[bytes], Awaitable[EndpointConnection]]
    ) -> None:
        conn = await endpoint(answer_with_headers(MAX_HEADERS))
        assert len((await conn.read_head()).headers) == MAX_HEADERS
        assert await conn.read_data() is None
        assert conn.finish()

    async def test_long_trailer_is_rejected(
        self, endpoint: Callable[[bytes], Awaitable[EndpointConnection]]
    ) -> None:
        conn = await endpoint(CHUNKED_HEAD + b"0\r\n" + b"a:\r\n" * (MAX_HEADERS + 2))
        async with asyncio.timeout(5.0):
            with pytest.raises(BadMessage):
                await read_all(conn)
        conn.abort()


class TestLoopDelay:
    """Guards against a delay that the metrics do not show, or show for ever."""

    async def test_delay_of_a_held_loop_is_recorded(self) -> None:
        delay = LoopDelay()
        task = asyncio.create_task(delay.watch())
        await asyncio.sleep(0)
        end_s = asyncio.get_running_loop().time() + 0.4
        while asyncio.get_running_loop().time() < end_s:
            pass
        await asyncio.sleep(0.01)
        task.cancel()
        assert delay.longest_s > 0.2
        assert delay.recent_s == delay.longest_s

    def test_recent_delay_is_forgotten(self) -> None:
        delay = LoopDelay()
        delay.record(0.5, 0.0)
        delay.record(0.0, 60.0)
        assert (delay.recent_s, delay.longest_s) == (0.5, 0.5)
        delay.record(0.1, 120.0)
        assert (delay.recent_s, delay.longest_s) == (0.1, 0.5)
