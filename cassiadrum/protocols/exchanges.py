"""One request and its response on a server connection."""

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable

import h11

from cassiadrum.protocols.http_requests import Headers, HttpRequest

__all__ = ["Exchange", "Handler"]


BODILESS_STATUSES = frozenset({204, 304})
# Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Exchange:
    """A request and its response; `disconnected` is set when the client disconnects.

    The response carries `connection: close` if `should_close` returns true when its headers are
    written. `started` and `ended` tell whether its headers and its end have been written.
    `request_id` is set by the handler, for the log lines of the server.
    """

    def __init__(
        self,
        req: HttpRequest,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        should_close: Callable[[], bool] = lambda: False,
    ) -> None:
        self.req = req
        self.disconnected = asyncio.Event()
        self.started = False
        self.ended = False
        self.request_id = ""
        self._conn = conn
        self._writer = writer
        self._should_close = should_close
        self._unsent: list[bytes] = []
        self._chunked = False
        # Whether any byte of the response has been written.
        self._sent = False
        self._aborted = False
        # Whether the body has no length and ends with the connection, as HTTP/1.0 requires it.
        self._ends_with_connection = False
        self._disconnect_callback: Callable[[], None] | None = None

    @property
    def aborted(self) -> bool:
        """Return whether the connection was aborted, or lost before the response was written."""
        return self._aborted

    @property
    def answered(self) -> bool:
        """Return whether the whole response has been written."""
        return self.ended and not (self._unsent or self._aborted)

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `callback` once when the client disconnects, immediately if it already has."""
        self._disconnect_callback = callback
        if self.disconnected.is_set():
            callback()

    def set_disconnected(self) -> None:
        """Record that the client disconnected, and run the callback on the first call."""
        if self.disconnected.is_set():
            return
        self.disconnected.set()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def buffer_head(self, status: int, headers: Headers = ()) -> None:
        """Buffer the status and headers for the next flush.

        The body is sent in chunks unless `headers` has a content-length.
        """
        names = {name.lower() for name, _ in headers}
        chunked = "content-length" not in names and status not in BODILESS_STATUSES
        if chunked:
            headers = (*headers, ("transfer-encoding", "chunked"))
        if self._should_close():
            headers = (*headers, ("connection", "close"))
        # Values are bytes, which this package decodes as Latin-1; h11 would encode them as ASCII.
        lines = [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]
        self._buffer_event(h11.Response(status_code=status, headers=lines))
        self.started = True
        unsized_body = chunked and self.req.method != "HEAD"
        self._chunked = unsized_body and self._conn.their_http_version == b"1.1"
        self._ends_with_connection = unsized_body and not self._chunked

    def buffer_data(self, data: bytes) -> None:
        """Buffer a part of the body for the next flush."""
        if not self._chunked:
            self._buffer_event(h11.Data(data=data))
        elif data:
            # Framed here: h11 checks an event and the state for each chunk, which costs several
            # times as much as the framing itself.
            self._unsent += (b"%x\r\n" % len(data), data, b"\r\n")

    def buffer_end(self) -> None:
        """Buffer the end of the response for the next flush."""
        self._buffer_event(h11.EndOfMessage())
        self.ended = True

    async def flush(self) -> None:
        """Send the buffered data in one write and wait while the send buffer is full."""
        self._write()
        try:
            await self._writer.drain()
        except OSError:
            self._aborted = True
            self.set_disconnected()

    async def send_head(self, status: int, headers: Headers = ()) -> None:
        """Send the status and headers; see `buffer_head`."""
        self.buffer_head(status, headers)
        self._write()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body and wait while the send buffer is full."""
        self.buffer_data(data)
        await self.flush()

    async def end(self) -> None:
        """Send the end of the response."""
        self.buffer_end()
        await self.flush()

    async def send(
        self, status: int, body: bytes, content_type: str, headers: Headers = ()
    ) -> None:
        """Send a complete response with a content-length."""
        length = (("content-type", content_type), ("content-length", str(len(body))))
        self.buffer_head(status, (*headers, *length))
        if self.req.method != "HEAD":
            self.buffer_data(body)
        self.buffer_end()
        await self.flush()

    async def send_json(self, status: int, value: object, headers: Headers = ()) -> None:
        """Send a complete response with a JSON body."""
        await self.send(status, json.dumps(value).encode(), "application/json", headers)

    def abort(self) -> None:
        """Abort the connection, so that the client detects a truncated response.

        A body that ends with its connection would look complete after a close, so the connection
        is reset, which may discard data that the client has not received.
        """
        self.ended = self._aborted = True
        sock = self._writer.get_extra_info("socket") if self._ends_with_connection else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    def discard_unsent(self) -> bool:
        """Discard what is buffered if nothing was sent; return whether it is so.

        Another response may be sent then. The connection is closed after it.
        """
        if self._sent or self._aborted:
            return False
        self._unsent = []
        self.started = self.ended = self._chunked = self._ends_with_connection = False
        self._conn = _make_answerable(self.req, self._conn.their_http_version or b"1.1")
        self._should_close = lambda: True
        return True

    def _buffer_event(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._unsent.append(data)

    def _write(self) -> None:
        data, self._unsent = b"".join(self._unsent), []
        if data and not self._writer.is_closing():
            self._sent = True
            self._writer.write(data)


def _make_answerable(req: HttpRequest, http_version: bytes) -> h11.Connection:
    """Return a connection that has received a request with the same rules for its response."""
    method = b"HEAD" if req.method == "HEAD" else b"GET"
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(method + b" / HTTP/" + http_version + b"\r\nhost: a\r\n\r\n")
    conn.next_event()
    return conn


Handler = Callable[[Exchange], Awaitable[None]]
