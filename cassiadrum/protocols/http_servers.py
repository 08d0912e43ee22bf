"""HTTP/1.1 server on asyncio streams and h11."""

import asyncio
import ssl
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.protocols.exchanges import Handler
from cassiadrum.protocols.memory_budgets import MemoryBudget
from cassiadrum.protocols.notifying_readers import NotifyingReader, receive_pending
from cassiadrum.protocols.request_readers import ReadLimits
from cassiadrum.protocols.server_connections import ServerConnection
from cassiadrum.protocols.unanswered_connections import UnansweredConnections, UnansweredReason

__all__ = ["HttpServer"]

# Unread bytes of a caller at half of which reading from it stops.
READ_BUFFER_BYTES = 64 * 1024
# Iterations of the event loop from the acceptance of a connection until its task runs.
ACCEPT_ITERATIONS = 3


class HttpServer:
    """Server at one address that calls a handler for each request.

    Connections, header and body sizes, the memory of all bodies, and the times for reading a
    request and for idle connections are limited. `on_unanswered(reason)` is called for each
    connection that ends unanswered; `UnansweredReason` lists the reasons.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        body_limit_bytes: int = LIMITS.BODY_BYTES,
        body_budget_bytes: int = LIMITS.BODY_BUDGET_BYTES,
        connection_limit: int = LIMITS.HTTP_CONNECTIONS,
        read_timeout_s: float = LIMITS.REQUEST_READ_TIMEOUT_S,
        idle_timeout_s: float = LIMITS.KEEP_ALIVE_TIMEOUT_S,
        on_unanswered: Callable[[str], None] | None = None,
    ) -> None:
        self._handler = handler
        self._body_limit_bytes = body_limit_bytes
        self._connection_limit = connection_limit
        self._read_timeout_s = read_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._server: asyncio.Server | None = None
        # In order of arrival, so that the oldest idle connection is closed first.
        self._connections: dict[asyncio.Task[None], ServerConnection] = {}
        self._unanswered = UnansweredConnections(on_unanswered)
        self._closing = False
        self._closed = False
        self._draining = False
        self._header_limit_bytes = LIMITS.HEADER_BYTES
        self._body_budget = MemoryBudget(body_budget_bytes, LIMITS.BODY_UNBUDGETED_BYTES)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listen and return the port, which the system chooses when `port` is 0."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, ssl=tls, backlog=1024
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests that are being handled."""
        return sum(conn.serving for conn in self._connections.values())

    def set_limits(
        self,
        *,
        header_limit_bytes: int,
        body_limit_bytes: int,
        read_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        """Set the limits for requests whose reading begins after this call.

        A raised idle timeout also extends the wait of connections that are idle: callers keep a
        connection for as long as the newest limit says. A lowered one holds from their next wait
        on.
        """
        self._header_limit_bytes = header_limit_bytes
        self._body_limit_bytes = body_limit_bytes
        self._read_timeout_s = read_timeout_s
        self._idle_timeout_s = idle_timeout_s
        for conn in self._connections.values():
            conn.extend_idle_wait(idle_timeout_s)

    def drain(self) -> None:
        """Close each connection after the response to the last request that has arrived."""
        self._draining = True

    async def close(self) -> None:
        """Stop listening, answer requests that have begun to arrive and close idle connections."""
        self._draining = True
        # A connection that is not accepted when the listening socket closes is reset.
        await _accept_pending()
        await self._stop_listening()
        await _accept_pending()
        self._closing = True
        for conn in self._connections.values():
            if not conn.request_started:
                conn.end_wait(UnansweredReason.SHUTDOWN_IDLE)
        while self._connections:
            await asyncio.wait(self._connections)
        self._closed = True

    async def abort(self) -> None:
        """Stop listening and abort every connection."""
        self._closing = self._closed = True
        await self._stop_listening()
        for conn in self._connections.values():
            started = conn.request_started
            conn.cancel(
                UnansweredReason.SHUTDOWN_REQUEST if started else UnansweredReason.SHUTDOWN_IDLE
            )
        if self._connections:
            await asyncio.wait(self._connections)

    async def _stop_listening(self) -> None:
        """Accept no more connections, and close the listener.

        asyncio cannot set up a connection that it accepted just before `close`. It leaves the
        socket open, so that the client would wait for an answer.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for sock in self._server.sockets:
            loop.remove_reader(sock.fileno())
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self._server.close()

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        # Same as asyncio.start_server, except for the class of the reader.
        reader = NotifyingReader(limit=READ_BUFFER_BYTES)
        return asyncio.StreamReaderProtocol(reader, self._accept)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(reader, NotifyingReader)
        task = asyncio.current_task()
        assert task is not None
        # With a write buffer limit of 0, draining waits until the kernel has accepted the whole
        # response, so that a process that exits after its last exchange truncates none.
        # A TLS transport pauses at the limit instead of above it, and would never resume with 0.
        over_tls = writer.get_extra_info("sslcontext") is not None
        writer.transport.set_write_buffer_limits(high=int(over_tls), low=0)
        conn = ServerConnection(
            reader,
            writer,
            self._handler,
            self._read_limits,
            self._body_budget,
            lambda: self._draining,
            lambda: self._closing,
            self._unanswered,
        )
        if not await self._admit_connection():
            await conn.refuse(UnansweredReason.LIMIT_REFUSED)
            return
        if self._closed:
            await conn.refuse(UnansweredReason.SHUTDOWN_IDLE)
            return
        self._connections[task] = conn
        try:
            await conn.serve()
        finally:
            self._connections.pop(task, None)

    def _read_limits(self) -> ReadLimits:
        return ReadLimits(
            self._header_limit_bytes,
            self._body_limit_bytes,
            self._read_timeout_s,
            self._idle_timeout_s,
        )

    async def _admit_connection(self) -> bool:
        """Return whether a new connection is accepted; at the limit, another may make room.

        Otherwise clients that open connections and send nothing, or a part of a request, could
        exhaust the limit.
        """
        if len(self._connections) < self._connection_limit:
            return True
        await receive_pending()
        if len(self._connections) < self._connection_limit:
            return True
        conns = self._connections.items()
        oldest = next((task for task, conn in conns if conn.idle), None)
        if oldest is None:
            oldest = next((task for task, conn in conns if conn.waiting_for_data), None)
        if oldest is None:
            return False
        self._connections.pop(oldest).end_wait(UnansweredReason.LIMIT_CLOSED)
        return True


async def _accept_pending() -> None:
    """Let the event loop accept connections that the kernel has already accepted.

    The first two iterations accept them, the next two start their tasks.
    """
    await receive_pending()
    await receive_pending()
