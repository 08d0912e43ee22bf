"""An HTTP/1.1 server on asyncio streams and h11."""

import asyncio
import contextlib
import json
import logging
import ssl

import h11

from cassiadrum.defaults import LIMITS
from cassiadrum.protocols.errors import BadMessage
from cassiadrum.protocols.exchanges import Exchange, Handler
from cassiadrum.protocols.http_requests import HttpRequest
from cassiadrum.protocols.request_readers import READ_BYTES, RequestReader

__all__ = ["HttpServer"]

logger = logging.getLogger(__name__)


class HttpServer:
    """Serve a handler on one address, with bounds on connections, headers, bodies and time."""

    def __init__(
        self,
        handler: Handler,
        *,
        body_limit: int = LIMITS.BODY_BYTES,
        connection_limit: int = LIMITS.HTTP_CONNECTIONS,
        read_timeout_s: float = LIMITS.REQUEST_READ_S,
        idle_timeout_s: float = LIMITS.KEEP_ALIVE_IDLE_S,
    ) -> None:
        self._handler = handler
        self._body_limit = body_limit
        self._connection_limit = connection_limit
        self._read_timeout_s = read_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[asyncio.Task[None]] = set()
        self._closing = False

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listen and return the port, which the system chooses when `port` is 0."""
        self._server = await asyncio.start_server(
            self._accept, host, port, ssl=tls, limit=READ_BYTES, backlog=1024
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def close(self) -> None:
        """Stop listening, let running exchanges end and close idle connections."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for task in self._tasks - self._busy:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def abort(self) -> None:
        """Stop at once and cut every connection."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is None or self._closing or len(self._tasks) >= self._connection_limit:
            writer.transport.abort()
            return
        self._tasks.add(task)
        # An exchange has ended only once the system has taken all of its answer, so that a stop
        # of the process cuts off nothing.
        # A TLS transport pauses at the limit, not above it, and would never resume with 0.
        over_tls = writer.get_extra_info("sslcontext") is not None
        writer.transport.set_write_buffer_limits(high=int(over_tls), low=0)
        try:
            await self._serve(reader, writer, task)
        except (ConnectionError, asyncio.CancelledError, TimeoutError):
            writer.transport.abort()
        except Exception:
            logger.exception("handler failed")
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._busy.discard(task)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task[None],
    ) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=LIMITS.HEADER_BYTES)
        requests = RequestReader(
            conn,
            reader,
            writer,
            body_limit=self._body_limit,
            read_timeout_s=self._read_timeout_s,
            idle_timeout_s=self._idle_timeout_s,
        )
        while not self._closing:
            try:
                req = await requests.read()
            except BadMessage as exc:
                await self._answer_bad(conn, writer, exc)
                return
            if req is None:
                return
            self._busy.add(task)
            await self._run(Exchange(req, conn, writer), conn, reader)
            self._busy.discard(task)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _run(
        self, exchange: Exchange, conn: h11.Connection, reader: asyncio.StreamReader
    ) -> None:
        watcher = asyncio.create_task(_watch(exchange, conn, reader))
        try:
            await self._handler(exchange)
        finally:
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher
        if not exchange.ended:
            exchange.abort()

    async def _answer_bad(
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
            "reason": "too_large" if exc.status in (413, 431) else "bad_request",
        }
        body = json.dumps(problem).encode()
        close = (("connection", "close"),)
        await exchange.send(exc.status, body, "application/problem+json", close)


async def _watch(exchange: Exchange, conn: h11.Connection, reader: asyncio.StreamReader) -> None:
    """Set `gone` when the client closes; keep what it sends early, up to the header limit."""
    kept = 0
    while kept < LIMITS.HEADER_BYTES:
        try:
            data = await reader.read(READ_BYTES)
        except ConnectionError:
            data = b""
        if not data:
            exchange.gone.set()
            return
        kept += len(data)
        conn.receive_data(data)
