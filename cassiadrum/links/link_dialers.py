"""Client side of a link."""

import asyncio
import contextlib
import logging
import ssl
from collections.abc import Callable

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from cassiadrum.defaults import LIMITS
from cassiadrum.links.links import Link
from cassiadrum.links.metered_connections import MeteredClientConnection

__all__ = ["LinkDialer"]

logger = logging.getLogger(__name__)

RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0
OPEN_TIMEOUT_S = 2.0


class LinkDialer:
    """A link to one address that is kept open, with exponential backoff between its connections.

    `tls` returns the context for the next connection, None for a connection without TLS.
    """

    def __init__(
        self,
        address: str,
        make_link: Callable[[Connection], Link],
        *,
        on_down: Callable[[Link], None],
        tls: Callable[[], ssl.SSLContext | None] = lambda: None,
    ) -> None:
        self.address = address
        self.link: Link | None = None
        self._make_link = make_link
        self._on_down = on_down
        self._tls = tls
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start connecting in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Close the link and stop reconnecting."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        pause_s = RETRY_MIN_S
        while True:
            if await self._connect_once():
                pause_s = RETRY_MIN_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_MAX_S)

    async def _connect_once(self) -> bool:
        """Connect and run the link until it ends; return whether a connection was made."""
        tls = self._tls()
        scheme = "wss" if tls else "ws"
        try:
            conn = await connect(
                f"{scheme}://{self.address}/",
                ssl=tls,
                compression=None,
                ping_interval=None,
                max_size=LIMITS.FRAME_BYTES,
                open_timeout=OPEN_TIMEOUT_S,
                proxy=None,
                create_connection=MeteredClientConnection,
            )
        except (OSError, TimeoutError, WebSocketException, ValueError) as exc:
            # An invalid address in the instance list raises one of the last two.
            logger.debug("connection to %s failed, retrying: %s", self.address, exc)
            return False
        self.link = self._make_link(conn)
        try:
            await self.link.run()
        finally:
            ended, self.link = self.link, None
            self._on_down(ended)
        return True
