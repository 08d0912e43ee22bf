"""One request and its answer on a server connection."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import h11

from cassiadrum.protocols.http_requests import Headers, HttpRequest

__all__ = ["Exchange", "Handler"]


class Exchange:
    """Answer one request; `gone` is set when the client closes its connection."""

    def __init__(self, req: HttpRequest, conn: h11.Connection, writer: asyncio.StreamWriter):
        self.req = req
        self.gone = asyncio.Event()
        self.started = False
        self.ended = False
        self._conn = conn
        self._writer = writer
        self._on_gone: Callable[[], None] | None = None

    def when_gone(self, act: Callable[[], None]) -> None:
        """Call `act` once when the client closes its connection, at once if it has already."""
        self._on_gone = act
        if self.gone.is_set():
            act()

    def set_gone(self) -> None:
        """Take note that the client closed its connection."""
        if self.gone.is_set():
            return
        self.gone.set()
        if self._on_gone is not None:
            self._on_gone()

    async def send_head(self, status: int, headers: Headers = ()) -> None:
        """Send the status and headers; the body is chunked unless a length is given."""
        names = {name.lower() for name, _ in headers}
        if "content-length" not in names:
            headers = (*headers, ("transfer-encoding", "chunked"))
        self.started = True
        self._write(h11.Response(status_code=status, headers=list(headers)))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body and wait while the client's buffer is full."""
        self._write(h11.Data(data=data))
        await self._drain()

    async def end(self) -> None:
        """End the answer."""
        self.ended = True
        self._write(h11.EndOfMessage())
        await self._drain()

    async def send(
        self, status: int, body: bytes, content_type: str, headers: Headers = ()
    ) -> None:
        """Send a whole answer."""
        length = (("content-type", content_type), ("content-length", str(len(body))))
        await self.send_head(status, (*headers, *length))
        if self.req.method != "HEAD":
            await self.send_data(body)
        await self.end()

    async def send_json(self, status: int, value: object, headers: Headers = ()) -> None:
        """Send a whole answer as JSON."""
        await self.send(status, json.dumps(value).encode(), "application/json", headers)

    def abort(self) -> None:
        """Close the connection, so that the client sees a cut answer and not a short one."""
        self.ended = True
        self._writer.transport.abort()

    def _write(self, event: h11.Event) -> None:
        data = self._conn.send(event)
        if data and not self._writer.is_closing():
            self._writer.write(data)

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except ConnectionError:
            self.set_gone()


Handler = Callable[[Exchange], Awaitable[None]]
