"""HTTP/1.1 client for one address, on asyncio streams and h11."""

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncGenerator
from typing import NamedTuple

import h11

from cassiadrum.protocols.answer_events import next_answer_event
from cassiadrum.protocols.call_timeouts import CallTimeout
from cassiadrum.protocols.errors import AnswerLost, BadMessage, ConnectFailed
from cassiadrum.protocols.http_requests import Headers
from cassiadrum.protocols.http_responses import HttpResponse
from cassiadrum.protocols.notifying_readers import NotifyingReader
from cassiadrum.protocols.time_slices import MAX_PARSE_BYTES

__all__ = ["HttpClient"]

READ_BUFFER_BYTES = 64 * 1024
# Bytes of chunk framing beyond the size of the body. Chunks of one byte keep the parser busy for
# many times as long as their size suggests, and each read of them counts as progress.
MAX_FRAMING_BYTES = 64 * 1024
# Interim (1xx) responses that a server may send before the final one.
MAX_INTERIM_RESPONSES = 8
MAX_IDLE_CONNECTIONS = 32


class _Connection(NamedTuple):
    protocol: h11.Connection
    reader: NotifyingReader
    writer: asyncio.StreamWriter


class HttpClient:
    """Client of one address that reuses its connections.

    Reading from the server stops at twice `read_buffer_bytes` unread bytes of a response.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        tls: ssl.SSLContext | None = None,
        connect_timeout_s: float = 2.0,
        read_buffer_bytes: int = READ_BUFFER_BYTES,
    ) -> None:
        self._host = host
        self._port = port
        self._tls = tls
        self._connect_timeout_s = connect_timeout_s
        self._read_buffer_bytes = read_buffer_bytes
        self._idle: deque[_Connection] = deque()

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        *,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Send a request and return its response once its headers have arrived.

        With `new_connection` no idle connection is reused: a server may close an idle connection
        just as the request is sent, which is indistinguishable from a lost response.
        Raises ConnectFailed when nothing was sent, AnswerLost when the outcome is unknown and
        BadMessage when the response is not valid HTTP. Only connecting is limited in time here;
        the caller sets the timeout of the request.
        """
        conn = None if new_connection else self._take_idle()
        conn = conn or await self._connect()
        try:
            head = await self._send(conn, method, target, headers, body)
        except BaseException:
            conn.writer.transport.abort()
            raise
        lines = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
        return HttpResponse(head.status_code, lines, self._iterate_body(conn))

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft().writer.close()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            conn = self._idle.pop()
            # Skips connections that the server closed while they were idle: a request on one would
            # fail in the same way as one whose response was lost.
            if not (conn.reader.at_eof() or conn.writer.is_closing() or _has_extra_bytes(conn)):
                return conn
            conn.writer.close()
        return None

    async def _connect(self) -> _Connection:
        try:
            async with CallTimeout(self._connect_timeout_s):
                reader, writer = await self._open()
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # A host or port that is none raises UnicodeError, a ValueError, or OverflowError.
            raise ConnectFailed(f"cannot connect to {self._host}:{self._port}: {exc}") from exc
        return _Connection(h11.Connection(h11.CLIENT), reader, writer)

    async def _open(self) -> tuple[NotifyingReader, asyncio.StreamWriter]:
        # Same as asyncio.open_connection, except for the class of the reader.
        loop = asyncio.get_running_loop()
        reader = NotifyingReader(limit=self._read_buffer_bytes)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(
            lambda: protocol, self._host, self._port, ssl=self._tls
        )
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)

    async def _send(
        self, conn: _Connection, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Response:
        lines = [("host", f"{self._host}:{self._port}"), ("content-length", str(len(body)))]
        data = conn.protocol.send(_build_request(method, target, (*lines, *headers))) or b""
        if body:
            data += conn.protocol.send(h11.Data(data=body)) or b""
        data += conn.protocol.send(h11.EndOfMessage()) or b""
        try:
            conn.writer.write(data)
            await conn.writer.drain()
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                event = await _read_event(conn)
                if isinstance(event, h11.Response):
                    return event
                if not isinstance(event, h11.InformationalResponse):
                    raise AnswerLost("connection closed before the response headers arrived")
            raise BadMessage(502, f"more than {MAX_INTERIM_RESPONSES} interim responses")
        except OSError as exc:
            raise AnswerLost(str(exc)) from exc

    async def _iterate_body(self, conn: _Connection) -> AsyncGenerator[bytes, None]:
        complete = False
        chunks: list[bytes] = []
        received = body = 0
        try:
            while True:
                event = _parse_event(conn)
                if isinstance(event, h11.Data):
                    # Chunks that arrived in one read are yielded as one byte string.
                    chunks.append(bytes(event.data))
                    body += len(event.data)
                    await conn.reader.time_slice.checkpoint()
                    continue
                if chunks:
                    yield b"".join(chunks)
                    chunks = []
                if isinstance(event, h11.EndOfMessage):
                    complete = True
                    return
                if isinstance(event, BadMessage | AnswerLost):
                    raise event
                if event is not h11.NEED_DATA:
                    raise AnswerLost("connection closed before the response body was complete")
                received += await _receive(conn)
                if received - body > body + MAX_FRAMING_BYTES:
                    raise BadMessage(502, "the response has more framing than data")
        finally:
            if complete:
                self._release(conn)
            else:
                conn.writer.transport.abort()

    def _release(self, conn: _Connection) -> None:
        reusable = conn.protocol.our_state is h11.DONE and conn.protocol.their_state is h11.DONE
        reusable = reusable and not _has_extra_bytes(conn)
        if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            conn.protocol.start_next_cycle()
            self._idle.append(conn)
        else:
            conn.writer.close()


def _has_extra_bytes(conn: _Connection) -> bool:
    """Return whether bytes arrived after the end of the last response.

    They belong to no request, and would be read as the response to the next one.
    """
    return conn.reader.unread_bytes > 0 or bool(conn.protocol.trailing_data[0])


def _build_request(method: str, target: str, headers: Headers) -> h11.Request:
    """Return the request event; raise ConnectFailed if it cannot be encoded as HTTP."""
    try:
        encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
        return h11.Request(method=method, target=target, headers=encoded)
    except (h11.LocalProtocolError, UnicodeError) as exc:
        raise ConnectFailed(f"request cannot be encoded as HTTP: {exc}") from exc


async def _read_event(conn: _Connection) -> object:
    while (event := _parse_event(conn)) is h11.NEED_DATA:
        await _receive(conn)
        await conn.reader.time_slice.checkpoint()
    if isinstance(event, BadMessage | AnswerLost):
        raise event
    return event


def _parse_event(conn: _Connection) -> object:
    """Parse the next event from the received data; return an error instead of raising it."""
    try:
        return next_answer_event(conn.protocol)
    except BadMessage as exc:
        return exc
    except h11.RemoteProtocolError as exc:
        if conn.reader.at_eof():
            return AnswerLost(str(exc))
        return BadMessage(502, str(exc))


async def _receive(conn: _Connection) -> int:
    """Pass received bytes to the parser and return their number."""
    try:
        data = await conn.reader.read(MAX_PARSE_BYTES)
    except OSError as exc:
        raise AnswerLost(str(exc)) from exc
    conn.protocol.receive_data(data)
    return len(data)
