"""Tests of peers that send bytes without end until the connection is closed."""

import asyncio
import contextlib
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from cassiadrum.endpoints import EngineEndpoint
from cassiadrum.errors import CassiadrumError
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.protocols import Exchange, HttpClient, HttpServer
from cassiadrum.protocols.notifying_readers import NotifyingReader
from cassiadrum.settings.addresses import Address
from cassiadrum.stores import StoreTransport
from cassiadrum.tests.gateways.test_hostile_endpoints import (
    Serve,
    endless_body,
    endless_chunk_extension,
    endless_chunks,
    endless_head,
    endless_head_line,
    endless_interim_answers,
    endless_tiny_chunks,
    endless_trailer,
    send_forever,
)

ANSWERS = (
    endless_body,
    endless_chunk_extension,
    endless_chunks,
    endless_head,
    endless_head_line,
    endless_interim_answers,
    endless_tiny_chunks,
    endless_trailer,
)
MEGABYTE = 1024 * 1024
# A store's answer may have 16 MiB, and a load report one.
MAX_STORE_BYTES = 20 * MEGABYTE
MAX_REPORT_BYTES = 2 * MEGABYTE
BODY_LIMIT_BYTES = 100_000
# What the server and the caller of the tests may allocate together.
MAX_ALLOCATED_BYTES = 4 * MEGABYTE
LIMIT_S = 30.0


class ReceivedBytes:
    """The number of bytes that were received over all connections."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        feed_data = NotifyingReader.feed_data

        def count_data(reader: NotifyingReader, data: Any) -> None:
            self.count += len(data)
            feed_data(reader, data)

        monkeypatch.setattr(NotifyingReader, "feed_data", count_data)


@pytest.fixture
def received(monkeypatch: pytest.MonkeyPatch) -> ReceivedBytes:
    return ReceivedBytes(monkeypatch)


@contextlib.asynccontextmanager
async def serving(serve: Serve) -> AsyncIterator[int]:
    """Answer each connection by a function and return the port."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        try:
            await serve("r-1", writer)
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


async def read_rows(port: int) -> None:
    await RowStore(Address("127.0.0.1", port)).read_all("op")


async def write_row(port: int) -> None:
    await RowStore(Address("127.0.0.1", port)).put_row("gateways", "g", b"x", 0)


async def read_store_of_the_sidecars(port: int) -> None:
    await StoreTransport(HttpClient("127.0.0.1", port), time.monotonic).read("/rows")


async def read_load_report(port: int) -> None:
    await EngineEndpoint("127.0.0.1", port).load()


class TestEndlessAnswers:
    """Guards against a process that keeps the bytes of a faulty peer until it has no memory."""

    @pytest.mark.parametrize("answer", ANSWERS)
    @pytest.mark.parametrize(
        ("call", "limit_bytes"),
        [
            (read_rows, MAX_STORE_BYTES),
            (write_row, MAX_STORE_BYTES),
            (read_store_of_the_sidecars, MAX_STORE_BYTES),
            (read_load_report, MAX_REPORT_BYTES),
        ],
    )
    async def test_call_fails_with_few_bytes_received(
        self,
        received: ReceivedBytes,
        answer: Serve,
        call: Callable[[int], Awaitable[None]],
        limit_bytes: int,
    ) -> None:
        async with serving(answer) as port:
            async with asyncio.timeout(LIMIT_S):
                with pytest.raises(CassiadrumError):
                    await call(port)
        assert received.count < limit_bytes


HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class TestEndlessRequests:
    """Guards against a caller that sends without end, in a head, a body or between requests."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"", b"a" * 4096),
            (HEAD, b"x-more: " + b"a" * 1000 + b"\r\n"),
            (HEAD + b"content-length: 1000000000\r\n\r\n", b"a" * 4096),
            (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
            (CHUNKED, b"1\r\na\r\n" * 100),
            (CHUNKED + b"1;", b"a" * 4096),
            (CHUNKED + b"0\r\n", b"x-more: a\r\n" * 100),
        ],
    )
    async def test_connection_is_closed(self, start: bytes, repeated: bytes) -> None:
        async def answer(exchange: Exchange) -> None:
            await exchange.send(200, b"ok", "text/plain")

        server = HttpServer(answer, body_limit_bytes=BODY_LIMIT_BYTES)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(start)
        tracemalloc.start()
        async with asyncio.timeout(LIMIT_S):
            sending = asyncio.create_task(send_forever(writer, repeated))
            with contextlib.suppress(ConnectionError):
                while await reader.read(65_536):
                    pass
            await sending
        _, allocated = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await server.abort()
        assert allocated < MAX_ALLOCATED_BYTES
