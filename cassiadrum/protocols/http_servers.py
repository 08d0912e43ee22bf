"""HTTP/1.1 server on asyncio streams and h11."""

import asyncio
import json
import logging
import ssl

import h11

from cassiadrum.defaults import LIMITS
from cassiadrum.protocols.errors import BadMessage
from cassiadrum.protocols.exchanges import Exchange, Handler
from cassiadrum.protocols.http_requests import HttpRequest
from cassiadrum.protocols.memory_budgets import MemoryBudget
from cassiadrum.protocols.notifying_readers import NotifyingReader
from cassiadrum.protocols.request_readers import ReadLimits, RequestReader

__all__ = ["HttpServer"]

logger = logging.getLogger(__name__)

# Unread bytes of a caller at half of which reading from it stops.
READ_BUFFER_BYTES = 64 * 1024
REASON_BY_STATUS = {413: "too_large", 431: "too_large", 503: "overloaded"}


class HttpServer:
    """Server at one address that calls a handler for each request.

    Connections, header and body sizes, the memory of all bodies, and the times for reading a
    request and for idle connections are limited.
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
    ) -> None:
        self._handler = handler
        self._body_limit_bytes = body_limit_bytes
        self._connection_limit = connection_limit
        self._read_timeout_s = read_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._server: asyncio.Server | None = None
        # In order of arrival, so that the oldest idle connection is closed first.
        self._connections: dict[asyncio.Task[None], RequestReader | None] = {}
        self._serving: set[asyncio.Task[None]] = set()
        self._closing = False
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
        return len(self._serving)

    def set_limits(
        self,
        *,
        header_limit_bytes: int,
        body_limit_bytes: int,
        read_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        """Set the limits for requests whose reading begins after this call."""
        self._header_limit_bytes = header_limit_bytes
        self._body_limit_bytes = body_limit_bytes
        self._read_timeout_s = read_timeout_s
        self._idle_timeout_s = idle_timeout_s

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._draining = True

    async def close(self) -> None:
        """Stop listening, answer requests that have begun to arrive and close idle connections."""
        self._closing = self._draining = True
        if self._server is not None:
            self._server.close()
        # Lets the event loop read data that the kernel has already received: the first iteration
        # polls the sockets, the second runs after the callbacks that read them.
        for _ in range(2):
            await asyncio.sleep(0)
        for task, request_reader in self._connections.items():
            if request_reader is None or not request_reader.request_started:
                task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    async def abort(self) -> None:
        """Stop listening and abort every connection."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        # Same as asyncio.start_server, except for the class of the reader.
        reader = NotifyingReader(limit=READ_BUFFER_BYTES)
        return asyncio.StreamReaderProtocol(reader, self._accept)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert isinstance(reader, NotifyingReader)
        task = asyncio.current_task()
        if task is None or self._closing or not self._admit_connection():
            writer.transport.abort()
            return
        self._connections[task] = None
        # With a write buffer limit of 0, draining waits until the kernel has accepted the whole
        # response, so that a process that exits after its last exchange truncates none.
        # A TLS transport pauses at the limit instead of above it, and would never resume with 0.
        over_tls = writer.get_extra_info("sslcontext") is not None
        writer.transport.set_write_buffer_limits(high=int(over_tls), low=0)
        try:
            await self._serve(reader, writer, task)
        except (ConnectionError, asyncio.CancelledError, TimeoutError):
            writer.transport.abort()
        except Exception:
            logger.exception("HTTP handler failed, connection aborted")
            writer.transport.abort()
        finally:
            self._connections.pop(task, None)
            self._serving.discard(task)
            writer.close()

    def _read_limits(self) -> ReadLimits:
        return ReadLimits(
            self._header_limit_bytes,
            self._body_limit_bytes,
            self._read_timeout_s,
            self._idle_timeout_s,
        )

    def _admit_connection(self) -> bool:
        """Return whether a new connection is accepted; at the limit, close the oldest idle one.

        Otherwise clients that open connections and send nothing could exhaust the limit.
        """
        if len(self._connections) < self._connection_limit:
            return True
        idle = next((task for task in self._connections if task not in self._serving), None)
        if idle is None:
            return False
        del self._connections[idle]
        idle.cancel()
        return True

    async def _serve(
        self,
        reader: NotifyingReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=self._header_limit_bytes)
        request_reader = RequestReader(conn, reader, writer, self._body_budget, self._read_limits)
        self._connections[task] = request_reader
        keep_alive = True
        while keep_alive and (not self._closing or request_reader.request_started):
            try:
                keep_alive = await self._serve_one(request_reader, conn, reader, writer, task)
            finally:
                request_reader.release_body()

    async def _serve_one(
        self,
        request_reader: RequestReader,
        conn: h11.Connection,
        reader: NotifyingReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> bool:
        """Read and answer one request; return whether the connection can be reused."""
        try:
            req = await request_reader.read()
        except BadMessage as exc:
            await self._send_problem(conn, writer, exc)
            return False
        if req is None:
            return False
        self._serving.add(task)
        await self._run_handler(
            Exchange(req, conn, writer, should_close=lambda: self._draining), reader
        )
        self._serving.discard(task)
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        return True

    async def _run_handler(self, exchange: Exchange, reader: NotifyingReader) -> None:
        reader.set_disconnect_callback(exchange.set_disconnected)
        try:
            await self._handler(exchange)
        finally:
            reader.set_disconnect_callback(None)
        if not exchange.ended:
            exchange.abort()

    async def _send_problem(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, exc: BadMessage
    ) -> None:
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        exchange = Exchange(HttpRequest("GET", "", (), b""), conn, writer)
        problem = {
            "type": "about:blank",
            "title": "Bad request",
            "status": exc.status,
            "detail": exc.detail,
            "ran": "no",
            "reason": REASON_BY_STATUS.get(exc.status, "bad_request"),
        }
        body = json.dumps(problem).encode()
        close = (("connection", "close"),)
        await exchange.send(exc.status, body, "application/problem+json", close)
