"""One request and its answer on a server connection."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import h11

from cassiadrum.protocols.http_requests import Headers, HttpRequest

__all__ = ["Exchange", "Handler"]


BODILESS_STATUSES = frozenset({204, 304})


class Exchange:
    """Answer one request; `gone` is set when the client closes its connection.

    The answer announces the connection's end when `closing` returns true at its head.
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
        self._conn = conn
        self._writer = writer
        self._should_close = should_close
        self._unsent: list[bytes] = []
        self._chunked = False
        self._disconnect_callback: Callable[[], None] | None = None

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call `act` once when the client closes its connection, at once if it has already."""
        self._disconnect_callback = callback
        if self.disconnected.is_set():
            callback()

    def set_disconnected(self) -> None:
        """Take note that the client closed its connection."""
        if self.disconnected.is_set():
            return
        self.disconnected.set()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def buffer_head(self, status: int, headers: Headers = ()) -> None:
        """Add the status and headers to what the next flush sends.

        The body is chunked unless a length is given.
        """
        names = {name.lower() for name, _ in headers}
        chunked = "content-length" not in names
        if chunked:
            headers = (*headers, ("transfer-encoding", "chunked"))
        if self._should_close():
            headers = (*headers, ("connection", "close"))
        self.started = True
        self._buffer_event(h11.Response(status_code=status, headers=list(headers)))
        self._chunked = (
            chunked
            and self.req.method != "HEAD"
            and status not in BODILESS_STATUSES
            and self._conn.their_http_version == b"1.1"
        )

    def buffer_data(self, data: bytes) -> None:
        """Add a part of the body to what the next flush sends."""
        if not self._chunked:
            self._buffer_event(h11.Data(data=data))
        elif data:
            # h11 checks each chunk's event and state, at several times the cost of framing it.
            self._unsent += (b"%x\r\n" % len(data), data, b"\r\n")

    def buffer_end(self) -> None:
        """Add the end of the answer to what the next flush sends."""
        self.ended = True
        self._buffer_event(h11.EndOfMessage())

    async def flush(self) -> None:
        """Send what was added in one write and wait while the client's buffer is full."""
        self._write()
        try:
            await self._writer.drain()
        except ConnectionError:
            self.set_disconnected()

    async def send_head(self, status: int, headers: Headers = ()) -> None:
        """Send the status and headers; the body is chunked unless a length is given."""
        self.buffer_head(status, headers)
        self._write()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body and wait while the client's buffer is full."""
        self.buffer_data(data)
        await self.flush()

    async def end(self) -> None:
        """End the answer."""
        self.buffer_end()
        await self.flush()

    async def send(
        self, status: int, body: bytes, content_type: str, headers: Headers = ()
    ) -> None:
        """Send a whole answer."""
        length = (("content-type", content_type), ("content-length", str(len(body))))
        self.buffer_head(status, (*headers, *length))
        if self.req.method != "HEAD":
            self.buffer_data(body)
        self.buffer_end()
        await self.flush()

    async def send_json(self, status: int, value: object, headers: Headers = ()) -> None:
        """Send a whole answer as JSON."""
        await self.send(status, json.dumps(value).encode(), "application/json", headers)

    def abort(self) -> None:
        """Close the connection, so that the client sees a cut answer and not a short one."""
        self.ended = True
        self._writer.transport.abort()

    def _buffer_event(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data:
            self._unsent.append(data)

    def _write(self) -> None:
        data, self._unsent = b"".join(self._unsent), []
        if data and not self._writer.is_closing():
            self._writer.write(data)


Handler = Callable[[Exchange], Awaitable[None]]
