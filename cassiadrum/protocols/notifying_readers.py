"""A stream reader that tells at once when the peer is gone."""

import asyncio
from collections.abc import Callable
from typing import Any

__all__ = ["NotifyingReader"]


class NotifyingReader(asyncio.StreamReader):
    """Call back when the peer closes its connection, also while nobody reads.

    A task that waits for the end of the input instead costs a task for each request. What the
    peer sends early stays in the buffer, which stops the transport when it is full.
    """

    # Bytes that arrived and were not read yet.
    unread_bytes = 0
    _disconnect_callback: Callable[[], None] | None = None
    _disconnected = False

    def set_disconnect_callback(self, on_gone: Callable[[], None] | None) -> None:
        """Call `on_gone` at the end of the input, at once if it has come; None stops that."""
        self._disconnect_callback = on_gone
        if on_gone is not None and self._disconnected:
            on_gone()

    def feed_data(self, data: Any) -> None:
        """Take bytes."""
        super().feed_data(data)
        self.unread_bytes += len(data)

    async def read(self, n: int = -1) -> bytes:
        """Return at most `n` bytes, none at the end."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data

    def feed_eof(self) -> None:
        """Take the end of the input."""
        super().feed_eof()
        self._notify_disconnected()

    def set_exception(self, exc: Exception) -> None:
        """Take the loss of the connection."""
        super().set_exception(exc)
        self._notify_disconnected()

    def _notify_disconnected(self) -> None:
        self._disconnected = True
        if self._disconnect_callback is not None:
            self._disconnect_callback()
