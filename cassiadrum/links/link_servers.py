"""Server side of links."""

import asyncio
import ssl
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve

from cassiadrum.defaults import LIMITS
from cassiadrum.links.links import Link
from cassiadrum.links.metered_connections import MeteredServerConnection

__all__ = ["LinkServer"]


class LinkServer:
    """Server that accepts links and runs each until it ends."""

    def __init__(
        self, make_link: Callable[[Connection], Link], *, on_down: Callable[[Link], None]
    ) -> None:
        self.links: set[Link] = set()
        self._make_link = make_link
        self._on_down = on_down
        self._server: Server | None = None

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listen and return the bound port; with `port` 0 the operating system chooses one."""
        self._server = await serve(
            self._accept,
            host,
            port,
            ssl=tls,
            compression=None,
            ping_interval=None,
            max_size=LIMITS.FRAME_BYTES,
            create_connection=MeteredServerConnection,
        )
        bound: int = next(iter(self._server.sockets)).getsockname()[1]
        return bound

    async def close(self) -> None:
        """Stop listening and abort every link."""
        if self._server is None:
            return
        self._server.close(close_connections=False)
        for link in list(self.links):
            link.abort()
        await asyncio.sleep(0)

    async def _accept(self, conn: ServerConnection) -> None:
        link = self._make_link(conn)
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)
            self._on_down(link)
