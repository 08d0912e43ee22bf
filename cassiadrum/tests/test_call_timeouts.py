"""Tests of the time limits of calls beside a stall of the event loop."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Callable

import pytest

from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.platform import row_stores
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.protocols import CallTimeout, HttpClient
from cassiadrum.settings.addresses import Address
from cassiadrum.stores import StoreBudget, StoreTransport, StoreUnavailable

LIMIT_S = 0.3
# Long enough that the limit ends within the stall.
STALL_S = 0.6
# Time into the stall at which the answer arrives.
ANSWER_S = 0.1
# Longest time in which a call without an answer has to end on a busy machine.
MAX_WAIT_S = 5.0
BODY = b'{"rows":[],"ver":7,"now_ms":0,"truncated":false}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(BODY), BODY)


@contextlib.asynccontextmanager
async def serve_in_thread(handle: Callable[[socket.socket], None]) -> AsyncIterator[int]:
    """Serve one connection in a thread, so that a stalled event loop does not delay it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def accept() -> None:
            with contextlib.suppress(OSError):
                conn, _ = listener.accept()
                with conn:
                    handle(conn)

        thread = threading.Thread(target=accept)
        thread.start()
        yield listener.getsockname()[1]
    # The loop has to run for the client's connection to close, which ends the thread.
    await asyncio.to_thread(thread.join)


def answer_once(conn: socket.socket) -> None:
    """Answer one request and wait until the client closes the connection."""
    conn.recv(65536)
    conn.sendall(ANSWER)
    conn.recv(1)


@pytest.fixture
async def stalling_port() -> AsyncIterator[int]:
    """Return the port of a server that answers while the event loop of its caller stands still."""
    loop = asyncio.get_running_loop()

    def answer(conn: socket.socket) -> None:
        conn.recv(65536)
        loop.call_soon_threadsafe(time.sleep, STALL_S)
        time.sleep(ANSWER_S)
        conn.sendall(ANSWER)
        # Until the client closes the connection.
        conn.recv(1)

    async with serve_in_thread(answer) as port:
        yield port


class TestAnswerDuringAStall:
    """Guards against a call that times out although its answer has arrived.

    After a stall of the event loop, asyncio handles the received bytes and the timers that became
    due in one iteration, and the timer cancels the call. The store then counted as unreachable,
    and once-only requests were refused.
    """

    async def test_read_of_a_store(self, stalling_port: int) -> None:
        client = HttpClient("127.0.0.1", stalling_port)
        transport = StoreTransport(client, time.monotonic, timeout_s=LIMIT_S)
        assert (await transport.read("/rows")).body == BODY
        client.close()

    async def test_read_that_waits_for_the_rate_budget(self) -> None:
        """The request is sent after the stall, when the time of the call is over by the clock."""
        async with serve_in_thread(answer_once) as port:
            client = HttpClient("127.0.0.1", port)
            budget = StoreBudget.of_share(10.0, 10.0, processes=1)
            transport = StoreTransport(client, time.monotonic, budget=budget, timeout_s=LIMIT_S)
            asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
            assert (await transport.read("/rows")).body == BODY
            client.close()

    async def test_read_of_the_platform_store(
        self, stalling_port: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(row_stores, "RESPONSE_TIMEOUT_S", LIMIT_S)
        store = RowStore(Address("127.0.0.1", stalling_port))
        assert (await store.read_all("t")).version == 7
        store.close()

    async def test_connection(self) -> None:
        async with serve_in_thread(answer_once) as port:
            client = HttpClient("127.0.0.1", port, connect_timeout_s=LIMIT_S)
            asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
            response = await client.request("GET", "/")
            assert await response.read() == BODY
            client.close()


class TestConnectionDuringAStall:
    """Guards against sound endpoints that count as unreachable after a stall of the event loop.

    The kernel makes the connection during the stall. Requests were refused with no_endpoint once
    the connections to all endpoints had timed out so.
    """

    async def test_connection_to_an_endpoint(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address("127.0.0.1", listener.getsockname()[1])
            opening = asyncio.create_task(EndpointConnection.open(address, LIMIT_S))
            await asyncio.sleep(0)
            time.sleep(STALL_S)  # noqa: ASYNC251 - the event loop stands still
            conn = await opening
            assert conn.usable
            conn.abort()
            await asyncio.sleep(0)


class TestEndOfTheLimit:
    """Guards against a call without an answer that does not end."""

    @pytest.mark.parametrize("stall_s", [0.0, STALL_S])
    async def test_call_without_an_answer_ends(self, stall_s: float) -> None:
        def read_only(conn: socket.socket) -> None:
            while conn.recv(65536):
                pass

        async with serve_in_thread(read_only) as port:
            client = HttpClient("127.0.0.1", port)
            transport = StoreTransport(client, time.monotonic, timeout_s=LIMIT_S)
            asyncio.get_running_loop().call_later(LIMIT_S / 2, time.sleep, stall_s)
            async with asyncio.timeout(MAX_WAIT_S):
                with pytest.raises(StoreUnavailable):
                    await transport.read("/rows")

    async def test_extension_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A connection may have been lost while the process was stopped for a long time."""
        loop = asyncio.get_running_loop()
        start_s, later_s = loop.time(), 0.0
        monkeypatch.setattr(loop, "time", lambda: time.monotonic() + later_s)
        async with asyncio.timeout(MAX_WAIT_S + 3600.0):
            with pytest.raises(TimeoutError):
                async with CallTimeout(LIMIT_S):
                    later_s = 3600.0
                    await asyncio.Event().wait()
        assert loop.time() - start_s < 3600.0 + MAX_WAIT_S


class TestCancellation:
    """Guards against a context that hides the cancellation of its task."""

    async def test_cancelled_task_ends(self) -> None:
        async def wait() -> None:
            async with CallTimeout(MAX_WAIT_S):
                await asyncio.Event().wait()

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
