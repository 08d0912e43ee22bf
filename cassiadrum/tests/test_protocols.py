"""Tests of the HTTP server and client."""

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from cassiadrum.protocols import AnswerLost, ConnectFailed, Exchange, HttpClient, HttpServer


async def echo(exchange: Exchange) -> None:
    if exchange.req.path == "/cut":
        await exchange.send_head(200)
        await exchange.send_data(b"part")
        exchange.abort()
        return
    if exchange.req.path == "/fail":
        await exchange.send_head(200)
        await exchange.send_data(b"part")
        raise RuntimeError("the handler fails")
    if exchange.req.path == "/whole":
        await exchange.send_head(200)
        await exchange.send_data(b"whole")
        await exchange.end()
        return
    await exchange.send(200, exchange.req.body, "text/plain")


@pytest.fixture
async def port() -> AsyncIterator[int]:
    server = HttpServer(echo, body_limit_bytes=1000, read_timeout_s=0.2)
    yield await server.start("127.0.0.1", 0)
    await server.abort()


async def send_raw(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


class TestHttpServer:
    """Guards against invalid requests that get no problem document or stop the server.

    They are malformed, too large, incomplete or have contradictory lengths.
    """

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n" + b"x" * 2000, 413),
            (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 40_000 + b"\r\n\r\n", 431),
            (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab", 408),
            (
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
                b"content-length: 5\r\n\r\nabcde",
                400,
            ),
        ],
    )
    async def test_bad_request_gets_a_problem(self, port: int, data: bytes, status: int) -> None:
        head, _, body = (await send_raw(port, data)).partition(b"\r\n\r\n")
        assert int(head.split()[1]) == status
        assert json.loads(body)["ran"] == "no"
        client = HttpClient("127.0.0.1", port)
        assert await (await client.request("POST", "/", (), b"still serving")).read()
        client.close()

    async def test_connection_is_reused(self, port: int) -> None:
        client = HttpClient("127.0.0.1", port)
        for text in (b"one", b"two"):
            assert await (await client.request("POST", "/", (), text)).read() == text
        client.close()


class TestBrokenResponses:
    """Guards against a response that is broken off and looks complete to a client of HTTP/1.0.

    Its body has no length and ends with the connection, so only a reset shows that it is cut.
    """

    @pytest.mark.parametrize("path", ["/cut", "/fail"])
    async def test_response_without_a_length_is_reset(self, port: int, path: str) -> None:
        with pytest.raises(ConnectionResetError):
            await send_raw(port, f"GET {path} HTTP/1.0\r\n\r\n".encode())

    async def test_whole_response_without_a_length_is_closed(self, port: int) -> None:
        answer = await send_raw(port, b"GET /whole HTTP/1.0\r\n\r\n")
        assert answer.partition(b"\r\n\r\n")[2] == b"whole"

    @pytest.mark.parametrize("path", ["/cut", "/fail"])
    async def test_response_in_chunks_lacks_its_end(self, port: int, path: str) -> None:
        answer = await send_raw(port, f"GET {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode())
        assert answer.endswith(b"\r\n\r\n4\r\npart\r\n")


class TestClose:
    """Guards against a planned stop that cuts off a request which has begun to arrive.

    A part of the request, or all of it, is still in the socket buffer when the server closes.
    Idle connections must not delay the stop.
    """

    HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n"

    @pytest.mark.parametrize("sent", [HEAD[:10], HEAD, HEAD + b"o"])
    async def test_request_that_has_begun_is_answered(self, sent: bytes) -> None:
        server = HttpServer(echo, body_limit_bytes=1000, read_timeout_s=5.0)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0.05)
        writer.write((self.HEAD + b"ok")[len(sent) :])
        async with asyncio.timeout(2.0):
            answer = await reader.read()
            await closing
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()

    async def test_request_that_just_arrived_is_answered(self) -> None:
        server = HttpServer(echo, body_limit_bytes=1000, read_timeout_s=5.0)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        writer.write(self.HEAD + b"ok")
        async with asyncio.timeout(2.0):
            await server.close()
            answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200")

    async def test_idle_connection_is_closed_at_once(self) -> None:
        server = HttpServer(echo, body_limit_bytes=1000, read_timeout_s=5.0)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        async with asyncio.timeout(1.0):
            await server.close()
            assert not await reader.read()
        writer.close()


class TestConnectionLimit:
    """Guards against idle connections that keep a new caller out.

    At the connection limit the connection that was idle for longest is closed.
    """

    async def test_oldest_idle_connection_makes_room(self) -> None:
        server = HttpServer(echo, connection_limit=3)
        port = await server.start("127.0.0.1", 0)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        response = await HttpClient("127.0.0.1", port).request("POST", "/", (), b"served")
        assert await response.read() == b"served"
        assert await idle[0][0].read() == b""
        for _, writer in idle:
            writer.close()
        await server.abort()


class TestBodyBudget:
    """Guards against bodies that take all memory, or that keep a small request out.

    Slow or large bodies fill the common budget; a small body is accepted beyond it.
    """

    async def test_large_bodies_are_refused_beyond_the_budget(self) -> None:
        server = HttpServer(echo, body_budget_bytes=50_000)
        port = await server.start("127.0.0.1", 0)
        _, slow = await asyncio.open_connection("127.0.0.1", port)
        slow.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n" + b"x" * 50_000)
        await slow.drain()
        client = HttpClient("127.0.0.1", port)
        while (response := await client.request("POST", "/", (), b"y" * 30_000)).status == 200:
            await response.read()
        assert json.loads(await response.read())["reason"] == "overloaded"
        small = await client.request("POST", "/", (), b"order")
        assert (small.status, await small.read()) == (200, b"order")
        slow.close()
        await server.abort()


class TestDisconnect:
    """Guards against an answer that is computed to its end for a caller that has left.

    The caller leaves before or while the handler runs, possibly with a second, pipelined request
    under way.
    """

    @pytest.mark.parametrize("pipelined", [b"", b"GET /second HTTP/1.1\r\n"])
    async def test_handler_is_notified(self, pipelined: bytes) -> None:
        running, notified = asyncio.Event(), asyncio.Event()

        async def wait_for_disconnect(exchange: Exchange) -> None:
            exchange.on_disconnect(notified.set)
            running.set()
            await notified.wait()

        server = HttpServer(wait_for_disconnect)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n" + pipelined)
        async with asyncio.timeout(5.0):
            await running.wait()
            writer.close()
            await notified.wait()
        await server.abort()

    async def test_caller_that_left_before_the_handler_ran(self) -> None:
        notified = asyncio.Event()

        async def wait_for_disconnect(exchange: Exchange) -> None:
            await asyncio.sleep(0.05)
            exchange.on_disconnect(notified.set)
            await notified.wait()

        server = HttpServer(wait_for_disconnect)
        port = await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        writer.close()
        async with asyncio.timeout(5.0):
            await notified.wait()
        await server.abort()


class TestHttpClient:
    """Guards against a truncated answer taken for a complete one.

    A refused connection, in contrast, means that the request was not sent.
    """

    async def test_truncated_answer_is_lost(self, port: int) -> None:
        response = await HttpClient("127.0.0.1", port).request("GET", "/cut")
        with pytest.raises(AnswerLost):
            await response.read()

    async def test_refused_connection_was_not_sent(self) -> None:
        with pytest.raises(ConnectFailed):
            await HttpClient("127.0.0.1", 1).request("GET", "/")
