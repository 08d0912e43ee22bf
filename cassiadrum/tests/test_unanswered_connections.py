"""Tests of server connections that end without an answer, and of how they are counted."""

import asyncio
import contextlib
import errno
import json
import logging
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, ClassVar

import pytest

from cassiadrum.frontends import Problem
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.protocols import (
    MAX_PARSE_BYTES,
    Exchange,
    Headers,
    HttpRequest,
    HttpServer,
    UnansweredReason,
    http_servers,
)
from cassiadrum.roles.caller_events import AnswerData, AnswerEnd, AnswerHead
from cassiadrum.roles.caller_handlers import AnswerFetcher, CallerHandler
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.request_parsers import RequestParser
from cassiadrum.tests.gateways.sites import wait_until
from cassiadrum.tests.test_answer_relays import make_pending

REQUEST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"
WAIT_LIMIT_S = 10.0

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
MakeServer = Callable[..., Awaitable["CountingServer"]]


async def answer(exchange: Exchange) -> None:
    exchange.request_id = "request-1"
    await exchange.send(200, b"ok", "text/plain")


class CountingServer:
    """A server with the reasons of its unanswered connections."""

    def __init__(self, handler: Callable[[Exchange], Awaitable[None]], **limits: Any) -> None:
        self.reasons: list[str] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._recorded = asyncio.Event()
        self.server = HttpServer(handler, on_unanswered=self._record, **limits)
        self.port = 0

    def _record(self, reason: str) -> None:
        self.reasons.append(reason)
        self._recorded.set()

    async def start(self) -> None:
        self.port = await self.server.start("127.0.0.1", 0)

    async def connect(self, data: bytes = b"") -> Connection:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._writers.append(writer)
        writer.write(data)
        return reader, writer

    async def recorded(self) -> list[str]:
        """Wait for an unanswered connection and return the reasons so far."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            await self._recorded.wait()
        return self.reasons

    async def stop(self) -> None:
        for writer in self._writers:
            writer.close()
        await self.server.abort()


@pytest.fixture
async def make_server() -> AsyncIterator[MakeServer]:
    servers: list[CountingServer] = []

    async def make(
        handler: Callable[[Exchange], Awaitable[None]] = answer, **limits: Any
    ) -> CountingServer:
        server = CountingServer(handler, **limits)
        servers.append(server)
        await server.start()
        return server

    yield make
    for server in servers:
        await server.stop()


async def read_all(conn: Connection) -> bytes:
    """Return what arrives until the connection is closed or reset."""
    data = b""
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(WAIT_LIMIT_S):
            while part := await conn[0].read(65536):
                data += part
    return data


async def read_answer(conn: Connection) -> bytes:
    """Return one answer whose body is `ok`."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        return await conn[0].readuntil(b"\r\n\r\nok")


class TestReasons:
    """Guards against a connection that ends unanswered and leaves no trace.

    The reason and the request's id are all that tells a fault of the server from a caller that
    left. Orderly ends must not be counted, or they would hide the others.
    """

    async def test_orderly_ends_are_not_counted(self, make_server: MakeServer) -> None:
        server = await make_server(idle_timeout_s=0.2)
        answered = await server.connect(REQUEST)
        await read_answer(answered)
        left = await server.connect()
        left[1].close()
        closed = await server.connect(
            REQUEST.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        )
        assert (await read_all(closed)).endswith(b"ok")
        assert await read_all(answered) == b""
        assert server.reasons == []

    async def test_connection_limit(self, make_server: MakeServer) -> None:
        running = asyncio.Event()

        async def wait(exchange: Exchange) -> None:
            running.set()
            await asyncio.Event().wait()

        server = await make_server(wait, connection_limit=1)
        idle = await server.connect()
        await server.connect(REQUEST)
        assert await server.recorded() == [UnansweredReason.LIMIT_CLOSED]
        assert await read_all(idle) == b""
        async with asyncio.timeout(WAIT_LIMIT_S):
            await running.wait()
        refused = await server.connect()
        assert await read_all(refused) == b""
        assert server.reasons[1:] == [UnansweredReason.LIMIT_REFUSED]

    async def test_answer_broken_off(
        self, make_server: MakeServer, caplog: pytest.LogCaptureFixture
    ) -> None:
        async def break_off(exchange: Exchange) -> None:
            exchange.request_id = "request-1"
            await exchange.send_head(200)
            await exchange.send_data(b"part")
            exchange.abort()

        server = await make_server(break_off)
        with caplog.at_level(logging.INFO):
            await server.connect(REQUEST)
            assert await server.recorded() == [UnansweredReason.HANDLER_ABORTED]
        record = next(r for r in caplog.records if r.msg.startswith("unanswered"))
        assert record.__dict__["request"] == "request-1"
        assert record.__dict__["caller"].startswith("127.0.0.1:")

    async def test_handler_raised_midway(self, make_server: MakeServer) -> None:
        async def fail(exchange: Exchange) -> None:
            await exchange.send_head(200)
            await exchange.send_data(b"part")
            raise LookupError

        server = await make_server(fail)
        await server.connect(REQUEST)
        assert await server.recorded() == [UnansweredReason.HANDLER_FAILED]

    async def test_caller_left(self, make_server: MakeServer) -> None:
        async def wait(exchange: Exchange) -> None:
            left = asyncio.Event()
            exchange.on_disconnect(left.set)
            await left.wait()
            exchange.abort()

        server = await make_server(wait)
        _, writer = await server.connect(REQUEST)
        await writer.drain()
        writer.close()
        assert await server.recorded() == [UnansweredReason.CALLER_LEFT]

    async def test_shutdown(self, make_server: MakeServer) -> None:
        running = asyncio.Event()

        async def wait(exchange: Exchange) -> None:
            running.set()
            await asyncio.Event().wait()

        server = await make_server(wait)
        await server.connect(REQUEST)
        async with asyncio.timeout(WAIT_LIMIT_S):
            await running.wait()
        await server.connect()
        await server.connect(REQUEST[:10])
        await asyncio.sleep(0.05)
        await server.server.abort()
        assert sorted(server.reasons) == [
            UnansweredReason.SHUTDOWN_IDLE,
            UnansweredReason.SHUTDOWN_REQUEST,
            UnansweredReason.SHUTDOWN_REQUEST,
        ]

    def test_metric_of_a_gateway(self) -> None:
        metrics = GatewayMetrics()
        metrics.record_unanswered_connection(UnansweredReason.CALLER_LEFT)
        name = "cassiadrum_gateway_unanswered_connections_total"
        assert f'{name}{{reason="caller_left"}} 1' in metrics.render().decode()


class TestStalledLoop:
    """Guards against a timeout that wins over bytes received during a stall of the event loop.

    After a stall, due timers and the sockets that became readable are handled in one iteration, so
    that the timeout ended a wait whose bytes were already in memory.
    """

    TIMEOUT_S = 0.5

    def stall(self) -> None:
        time.sleep(self.TIMEOUT_S * 1.2)

    async def test_request_received_after_the_idle_deadline_passed(
        self, make_server: MakeServer
    ) -> None:
        server = await make_server(idle_timeout_s=self.TIMEOUT_S)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        await asyncio.sleep(self.TIMEOUT_S / 10)
        # A write to an empty buffer passes the bytes to the kernel at once.
        conn[1].write(REQUEST)
        self.stall()
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")
        assert await read_all(conn) == b""
        assert server.reasons == []

    async def test_rest_of_a_request_received_after_the_read_deadline_passed(
        self, make_server: MakeServer
    ) -> None:
        body = b"x" * (5 * MAX_PARSE_BYTES) + b"ok"
        server = await make_server(read_timeout_s=self.TIMEOUT_S)
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)
        conn = await server.connect(head)
        await asyncio.sleep(self.TIMEOUT_S / 10)
        conn[1].write(body)
        self.stall()
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")
        assert server.reasons == []

    async def test_idle_connection_is_closed_after_a_stall(self, make_server: MakeServer) -> None:
        server = await make_server(idle_timeout_s=self.TIMEOUT_S)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        self.stall()
        assert await read_all(conn) == b""

    async def test_caller_that_never_stops_sending_is_refused(
        self, make_server: MakeServer
    ) -> None:
        """Bytes that arrive after the deadline must not extend it."""
        server = await make_server(read_timeout_s=self.TIMEOUT_S, body_limit_bytes=10**9)
        reader, writer = await server.connect(
            b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        )

        async def send_forever() -> None:
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"1\r\nx\r\n" * 2000)
                    await writer.drain()

        sending = asyncio.create_task(send_forever())
        async with asyncio.timeout(WAIT_LIMIT_S):
            assert (await reader.readline()).startswith(b"HTTP/1.1 408")
        sending.cancel()


class TestChangedIdleLimit:
    """Guards against idle connections that are closed earlier than the newest limit says.

    Callers keep a connection for a part of the limit in force, so that one which is closed by an
    older, shorter limit is closed while it may get a request.
    """

    SHORT_S = 0.4
    LONG_S = 30.0

    def set_idle_timeout(self, server: CountingServer, timeout_s: float) -> None:
        server.server.set_limits(
            header_limit_bytes=10_000,
            body_limit_bytes=10_000,
            read_timeout_s=5.0,
            idle_timeout_s=timeout_s,
        )

    async def test_raised_limit_holds_for_idle_connections(self, make_server: MakeServer) -> None:
        server = await make_server(idle_timeout_s=self.SHORT_S)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        await asyncio.sleep(self.SHORT_S / 8)
        self.set_idle_timeout(server, self.LONG_S)
        self.set_idle_timeout(server, self.SHORT_S)
        await asyncio.sleep(self.SHORT_S * 2)
        conn[1].write(REQUEST)
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")

    async def test_lowered_limit_holds_from_the_next_wait_on(
        self, make_server: MakeServer
    ) -> None:
        server = await make_server(idle_timeout_s=self.LONG_S)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        await asyncio.sleep(self.SHORT_S / 8)
        self.set_idle_timeout(server, self.SHORT_S)
        await asyncio.sleep(self.SHORT_S * 2)
        conn[1].write(REQUEST)
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")
        assert await read_all(conn) == b""

    async def test_request_being_read_keeps_its_read_timeout(
        self, make_server: MakeServer
    ) -> None:
        server = await make_server(read_timeout_s=self.SHORT_S, idle_timeout_s=self.SHORT_S)
        conn = await server.connect(REQUEST[:10])
        await asyncio.sleep(self.SHORT_S / 8)
        self.set_idle_timeout(server, self.LONG_S)
        assert (await read_all(conn)).startswith(b"HTTP/1.1 408")

    async def test_pipelined_request_has_the_read_timeout(self, make_server: MakeServer) -> None:
        """A request that began with the end of the last one is not waited for, but read."""
        server = await make_server(read_timeout_s=self.SHORT_S, idle_timeout_s=self.LONG_S)
        conn = await server.connect(REQUEST + REQUEST[:10])
        await read_answer(conn)
        assert (await read_all(conn)).startswith(b"HTTP/1.1 408")


class TestChangedHeaderLimit:
    """Guards against requests on kept connections that are refused by an older header limit.

    h11 gets its limit when the connection is made, and a caller does not retry after 431.
    """

    HEAD = b"GET /x HTTP/1.1\r\nhost: a\r\nx-long: %b\r\n\r\n" % (b"a" * 20_000)

    def set_header_limit(self, server: CountingServer, limit_bytes: int) -> None:
        server.server.set_limits(
            header_limit_bytes=limit_bytes,
            body_limit_bytes=10_000,
            read_timeout_s=5.0,
            idle_timeout_s=30.0,
        )

    @pytest.mark.parametrize("limit_bytes", [64 * 1024, 8 * 1024])
    async def test_limit_in_force_holds_for_a_kept_connection(
        self, make_server: MakeServer, limit_bytes: int
    ) -> None:
        server = await make_server()
        self.set_header_limit(server, 72 * 1024 - limit_bytes)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        await asyncio.sleep(0.05)
        self.set_header_limit(server, limit_bytes)
        # In two parts, so that the head is incomplete for a while.
        conn[1].write(self.HEAD[:-10])
        await asyncio.sleep(0.05)
        conn[1].write(self.HEAD[-10:])
        async with asyncio.timeout(WAIT_LIMIT_S):
            status_line = await conn[0].readline()
        assert status_line.split()[1] == (b"200" if limit_bytes > len(self.HEAD) else b"431")


class TestConnectionLimit:
    """Guards against a request under way that is lost when its connection makes room.

    At the connection limit a connection of which no byte of a request has been received is closed
    first. A request of which a part is still awaited is refused as not run, and one that is being
    read from memory or handled is kept.
    """

    async def test_incomplete_request_is_refused_as_not_run(self, make_server: MakeServer) -> None:
        server = await make_server(connection_limit=1)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        conn[1].write(REQUEST[:10])
        await asyncio.sleep(0.05)
        assert await read_answer(await server.connect(REQUEST))
        head, _, body = (await read_all(conn)).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503")
        assert b"connection: close" in head
        assert json.loads(body)["ran"] == "no"
        assert server.reasons == []

    async def test_request_being_handled_is_kept(self, make_server: MakeServer) -> None:
        finish = asyncio.Event()

        async def wait(exchange: Exchange) -> None:
            await finish.wait()
            await answer(exchange)

        server = await make_server(wait, connection_limit=1)
        conn = await server.connect(REQUEST)
        await asyncio.sleep(0.05)
        assert await read_all(await server.connect()) == b""
        assert server.reasons == [UnansweredReason.LIMIT_REFUSED]
        finish.set()
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")

    async def test_request_on_a_refused_connection_is_refused_as_not_run(
        self, make_server: MakeServer
    ) -> None:
        finish = asyncio.Event()

        async def wait(exchange: Exchange) -> None:
            await finish.wait()
            await answer(exchange)

        server = await make_server(wait, connection_limit=1)
        conn = await server.connect(REQUEST)
        await asyncio.sleep(0.05)
        # Blocking, so that the request has arrived when the connection is accepted.
        sock = socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S)
        sock.sendall(REQUEST)
        refused = await asyncio.open_connection(sock=sock)
        head, _, body = (await read_all(refused)).partition(b"\r\n\r\n")
        refused[1].close()
        assert head.startswith(b"HTTP/1.1 503")
        assert json.loads(body)["ran"] == "no"
        assert server.reasons == []
        finish.set()
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")

    async def test_newer_idle_connection_makes_room(self, make_server: MakeServer) -> None:
        server = await make_server(connection_limit=2)
        conn = await server.connect(REQUEST[:10])
        await asyncio.sleep(0.05)
        idle = await server.connect(REQUEST)
        await read_answer(idle)
        assert await read_answer(await server.connect(REQUEST))
        assert await read_all(idle) == b""
        conn[1].write(REQUEST[10:])
        assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")

    async def test_request_that_arrives_with_the_new_connection_is_kept(
        self, make_server: MakeServer
    ) -> None:
        server = await make_server(connection_limit=1)
        conn = await server.connect(REQUEST)
        await read_answer(conn)
        await asyncio.sleep(0.05)
        # Blocking, so that the loop finds the connection and the request in one iteration.
        with socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S):
            conn[1].write(REQUEST)
            assert (await read_answer(conn)).startswith(b"HTTP/1.1 200")


class TestFailedHandler:
    """Guards against a handler that fails and leaves its caller without any answer.

    As long as nothing was sent, the caller gets a 500 that does not claim that the request has not
    run. A part of an answer must never look complete.
    """

    HEADS: ClassVar = [
        (99, ()),
        (1000, ()),
        (200, (("bad name", "a"),)),
        (200, (("a", "line\nbreak"),)),
        (200, (("a", "\u2713"),)),
        (200, (("\u2713", "a"),)),
        (200, (("content-length", "-1"),)),
        (200, (("content-length", "1"), ("content-length", "2"))),
        (200, (("content-length", "0"), ("transfer-encoding", "gzip"))),
    ]

    async def check(
        self, make_server: MakeServer, handler: Callable[[Exchange], Awaitable[None]]
    ) -> bytes:
        """Require a truthful 500 to be the only answer, and return its head."""
        server = await make_server(handler)
        head, _, body = (await read_all(await server.connect(REQUEST))).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 500")
        assert b"connection: close" in head.lower()
        problem = json.loads(body)
        assert (problem["ran"], problem["reason"]) == ("unknown", "internal_error")
        assert server.reasons == []
        return head

    @pytest.mark.parametrize(
        "exc", [LookupError(), ConnectionResetError(), TimeoutError(), asyncio.CancelledError()]
    )
    async def test_exception(self, make_server: MakeServer, exc: BaseException) -> None:
        async def fail(exchange: Exchange) -> None:
            raise exc

        await self.check(make_server, fail)

    async def test_return_without_an_answer(self, make_server: MakeServer) -> None:
        async def ignore(exchange: Exchange) -> None:
            pass

        await self.check(make_server, ignore)

    @pytest.mark.parametrize(("status", "headers"), HEADS)
    async def test_head_that_cannot_be_sent(
        self, make_server: MakeServer, status: int, headers: Headers
    ) -> None:
        started = False

        async def send(exchange: Exchange) -> None:
            nonlocal started
            try:
                exchange.buffer_head(status, headers)
            finally:
                started = exchange.started
            await exchange.end()

        await self.check(make_server, send)
        assert not started

    async def test_buffered_head_is_not_sent(self, make_server: MakeServer) -> None:
        async def send(exchange: Exchange) -> None:
            exchange.buffer_head(201, (("content-length", "1"), ("a", "b")))
            exchange.buffer_data(b"too long")
            await exchange.end()

        assert b"a: b" not in await self.check(make_server, send)

    async def test_missing_data(self, make_server: MakeServer) -> None:
        async def send(exchange: Exchange) -> None:
            exchange.buffer_head(200, (("content-length", "5"),))
            exchange.buffer_data(b"ok")
            await exchange.end()

        await self.check(make_server, send)

    async def test_answer_that_was_not_flushed(self, make_server: MakeServer) -> None:
        async def buffer(exchange: Exchange) -> None:
            exchange.buffer_head(200, (("content-length", "2"),))
            exchange.buffer_data(b"ok")
            exchange.buffer_end()

        await self.check(make_server, buffer)

    @pytest.mark.parametrize("version", [b"1.0", b"1.1"])
    async def test_head_request(self, make_server: MakeServer, version: bytes) -> None:
        async def fail(exchange: Exchange) -> None:
            exchange.buffer_head(200)
            raise LookupError

        server = await make_server(fail)
        request = b"HEAD / HTTP/" + version + b"\r\nhost: a\r\n\r\n"
        data = await read_all(await server.connect(request))
        assert data.startswith(b"HTTP/1.1 500")
        assert data.endswith(b"\r\n\r\n")

    async def test_sent_part_never_looks_complete(self, make_server: MakeServer) -> None:
        async def fail(exchange: Exchange) -> None:
            await exchange.send_head(200)
            await exchange.send_data(b"part")
            raise LookupError

        server = await make_server(fail)
        data = await read_all(await server.connect(REQUEST))
        assert not data.endswith(b"0\r\n\r\n")
        assert b"500" not in data
        assert server.reasons == [UnansweredReason.HANDLER_FAILED]

    async def test_failure_after_a_complete_answer(self, make_server: MakeServer) -> None:
        async def fail(exchange: Exchange) -> None:
            await answer(exchange)
            raise LookupError

        server = await make_server(fail)
        data = await read_all(await server.connect(REQUEST))
        assert data.count(b"HTTP/1.1") == 1
        assert data.endswith(b"ok")
        assert server.reasons == []


class TestBodilessAnswer:
    """Guards against a caller that waits for the chunks of an answer that has no body."""

    @pytest.mark.parametrize("status", [204, 304])
    async def test_no_transfer_encoding(self, make_server: MakeServer, status: int) -> None:
        async def send(exchange: Exchange) -> None:
            if exchange.req.body:
                exchange.buffer_head(status)
                await exchange.end()
            else:
                await answer(exchange)

        server = await make_server(send)
        conn = await server.connect(REQUEST + b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        data = await read_answer(conn)
        assert b"transfer-encoding" not in data.lower()
        assert data.count(b"HTTP/1.1") == 2


class SingleRequestParser(RequestParser):
    """Parser that returns the same request each time."""

    def __init__(self, pending: PendingRequest) -> None:
        self._pending = pending

    def parse(self, http: HttpRequest) -> PendingRequest:
        return self._pending


class NoFetcher(AnswerFetcher):
    """Fetcher that is not used."""

    async def fetch(self, exchange: Exchange, answer_id: str, position: int) -> None:
        raise NotImplementedError


class TestUnsentAnswer:
    """Guards against an entry instance that breaks off an answer of which nothing was sent.

    The start of an answer and its failure may reach the caller's task together. Without any byte
    sent the caller can still be told what failed.
    """

    async def test_failure_that_comes_with_the_head(self, make_server: MakeServer) -> None:
        pending = make_pending()
        problem = Problem("endpoint_failed", "unknown", request_id="r")
        for event in (AnswerHead(200, (), "a"), AnswerData(b"part", "a", 4), AnswerEnd(problem)):
            pending.caller_events.put_nowait(event)
        handler = CallerHandler(
            SingleRequestParser(pending),
            lambda msg: None,
            NoFetcher(),
            lambda: True,
            lambda service, reason: None,
        )
        server = await make_server(handler)
        request = REQUEST.replace(b"/x", b"/services/s/x")
        head, _, body = (await read_all(await server.connect(request))).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 502")
        assert json.loads(body)["reason"] == "endpoint_failed"
        assert server.reasons == []


class TestCloseUnderWay:
    """Guards against a planned stop that drops a request which the kernel has already received.

    It may be on a connection that is not accepted yet, or behind an answer that ends while the
    server closes.
    """

    async def test_request_on_a_new_connection_is_answered(self, make_server: MakeServer) -> None:
        server = await make_server()
        # Blocking, so that the loop has not accepted the connection when the close begins.
        sock = socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S)
        sock.sendall(REQUEST)
        async with asyncio.timeout(WAIT_LIMIT_S):
            await server.server.close()
            conn = await asyncio.open_connection(sock=sock)
            data = await conn[0].read()
        conn[1].close()
        assert data.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in data.lower()
        assert server.reasons == []

    async def test_idle_new_connection_does_not_delay_the_close(
        self, make_server: MakeServer
    ) -> None:
        server = await make_server()
        with socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S):
            async with asyncio.timeout(WAIT_LIMIT_S):
                await server.server.close()
        assert server.reasons == [UnansweredReason.SHUTDOWN_IDLE]

    async def test_request_behind_an_answer_is_answered(self, make_server: MakeServer) -> None:
        finish, running = asyncio.Event(), asyncio.Event()

        async def send(exchange: Exchange) -> None:
            await exchange.send_head(200)
            running.set()
            await finish.wait()
            await exchange.send_data(b"ok")
            await exchange.end()

        server = await make_server(send)
        conn = await server.connect(REQUEST)
        async with asyncio.timeout(WAIT_LIMIT_S):
            await running.wait()
            closing = asyncio.create_task(server.server.close())
            await asyncio.sleep(0.05)
            finish.set()
            conn[1].write(REQUEST)
            assert (await read_all(conn)).count(b"HTTP/1.1 200") == 2
            await closing
        assert server.reasons == []


class TestRequestDuringTheCancellation:
    """Guards against a request that is received as its idle connection is cancelled.

    The transport reads in the iteration of the event loop between the cancellation and its end, so
    that a whole request was in memory when the connection was closed without an answer.
    """

    async def test_close(self, make_server: MakeServer, monkeypatch: pytest.MonkeyPatch) -> None:
        server = await make_server()
        with socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S) as sock:
            await asyncio.sleep(0.05)
            polls = 0

            async def accept_pending() -> None:
                nonlocal polls
                polls += 1
                for _ in range(4):
                    await asyncio.sleep(0)
                if polls == 2:
                    # Too late for the last poll of `close`.
                    sock.send(REQUEST)

            monkeypatch.setattr(http_servers, "_accept_pending", accept_pending)
            await server.server.close()
            refusal = await asyncio.to_thread(sock.recv, 1000)
            assert refusal.startswith(b"HTTP/1.1 503")
        assert server.reasons == []

    async def test_connection_limit(
        self, make_server: MakeServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server = await make_server(connection_limit=1)
        with socket.create_connection(("127.0.0.1", server.port), WAIT_LIMIT_S) as sock:
            await asyncio.sleep(0.05)

            async def receive_pending() -> None:
                for _ in range(2):
                    await asyncio.sleep(0)
                sock.send(REQUEST)

            monkeypatch.setattr(http_servers, "receive_pending", receive_pending)
            assert await read_answer(await server.connect(REQUEST))
            refusal = await asyncio.to_thread(sock.recv, 1000)
            assert refusal.startswith(b"HTTP/1.1 503")
        assert server.reasons == []


class TestRefusedHeadRequest:
    """Guards against a refusal that is not sent because an answer to HEAD has no body."""

    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            (b"content-length: 2000", 413),
            (b"x: " + b"y" * 20_000, 431),
            (b"content-length: 2\r\ntransfer-encoding: chunked", 400),
            (b"content-length: 2", 408),
        ],
    )
    async def test_refusal_is_sent(
        self, make_server: MakeServer, headers: bytes, status: int
    ) -> None:
        server = await make_server()
        server.server.set_limits(
            header_limit_bytes=10_000,
            body_limit_bytes=1000,
            read_timeout_s=0.3,
            idle_timeout_s=5.0,
        )
        first = b"HEAD / HTTP/1.1\r\nhost: a\r\n"
        data = await read_all(await server.connect(first + headers + b"\r\n\r\n"))
        assert data.startswith(b"HTTP/1.1 %d" % status)
        assert server.reasons == []

    async def test_refusal_of_the_next_request_has_a_body(self, make_server: MakeServer) -> None:
        server = await make_server()
        first = b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n"
        data = await read_all(await server.connect(first + b"nonsense\r\n\r\n"))
        _, _, refusal = data.partition(b"HTTP/1.1 400")
        assert json.loads(refusal.partition(b"\r\n\r\n")[2])["ran"] == "no"


class TestRefusalDuringTheBody:
    """Guards against a refusal that is lost since the caller is still sending.

    Closing a connection with unread bytes resets it, and a reset may drop the answer on its way.
    """

    async def test_refusal_arrives(self, make_server: MakeServer) -> None:
        server = await make_server(body_limit_bytes=1000)
        size = 16 * 1024 * 1024
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
        reader, _ = await server.connect(head + b"x" * size)
        async with asyncio.timeout(WAIT_LIMIT_S):
            data = await reader.read()
        assert data.startswith(b"HTTP/1.1 413")


class TestLostConnection:
    """Guards against a lost connection that is taken for a timeout, or for a failed handler.

    The transport reports a peer that is gone as ETIMEDOUT or EHOSTUNREACH, which are no
    ConnectionError; the first is a TimeoutError like that of a deadline.
    """

    ERRORS: ClassVar = [
        ConnectionResetError(errno.ECONNRESET, "reset"),
        TimeoutError(errno.ETIMEDOUT, "timed out"),
        OSError(errno.EHOSTUNREACH, "unreachable"),
    ]

    @pytest.mark.parametrize("exc", ERRORS)
    async def test_while_an_answer_is_sent(self, make_server: MakeServer, exc: OSError) -> None:
        async def lose(exchange: Exchange) -> None:
            transports[-1].get_protocol().connection_lost(exc)
            await answer(exchange)
            assert exchange.disconnected.is_set()

        server = await make_server(lose)
        transports = watch_transports(server)
        await server.connect(REQUEST)
        assert await server.recorded() == [UnansweredReason.CALLER_LEFT]

    @pytest.mark.parametrize("exc", ERRORS)
    async def test_while_a_request_is_read(self, make_server: MakeServer, exc: OSError) -> None:
        server = await make_server()
        transports = watch_transports(server)
        await server.connect(REQUEST[:-1])
        await wait_until(lambda: bool(transports))
        await asyncio.sleep(0.05)
        transports[-1].get_protocol().connection_lost(exc)
        assert await server.recorded() == [UnansweredReason.CALLER_LEFT]


def watch_transports(server: CountingServer) -> list[Any]:
    """Return the list to which the transport of each new connection is added."""
    transports: list[Any] = []
    accept = server.server._accept

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        transports.append(writer.transport)
        await accept(reader, writer)

    server.server._accept = watch  # type: ignore[method-assign]
    return transports
