"""Stream reader that reports the disconnect of the peer immediately, and paces its task."""

import asyncio
from collections.abc import Callable
from typing import Any

from cassiadrum.protocols.time_slices import TimeSlice

__all__ = ["NotifyingReader", "receive_pending"]


class NotifyingReader(asyncio.StreamReader):
    """Reader that reports when the peer closes the connection, even while no read is pending.

    This saves a task per request that would wait for the end of the input. Data that arrives
    before it is read stays in the buffer; a full buffer pauses the transport.

    A task that processes what it reads calls `time_slice.checkpoint()` for each piece.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.time_slice = TimeSlice()

    # Number of bytes received but not read.
    unread_bytes = 0
    _disconnect_callback: Callable[[], None] | None = None
    _disconnected = False

    def set_disconnect_callback(self, callback: Callable[[], None] | None) -> None:
        """Call `callback` at the end of the input, or now if it was reached; None removes it."""
        self._disconnect_callback = callback
        if callback is not None and self._disconnected:
            callback()

    def feed_data(self, data: Any) -> None:
        """Buffer received bytes."""
        super().feed_data(data)
        self.unread_bytes += len(data)

    async def read(self, n: int = -1) -> bytes:
        """Return at most `n` bytes, or no bytes at the end of the input."""
        waits = self.unread_bytes == 0
        data = await super().read(n)
        self.unread_bytes -= len(data)
        if waits:
            self.time_slice.restart()
        return data

    def feed_eof(self) -> None:
        """Mark the end of the input and call back."""
        super().feed_eof()
        self._notify_disconnected()

    def set_exception(self, exc: Exception) -> None:
        """Mark the loss of the connection and call back."""
        super().set_exception(exc)
        self._notify_disconnected()

    def _notify_disconnected(self) -> None:
        self._disconnected = True
        if self._disconnect_callback is not None:
            self._disconnect_callback()


async def receive_pending() -> None:
    """Let the event loop receive data that the kernel has already received.

    The first iteration polls the sockets, the second runs after the callbacks that read them.
    """
    for _ in range(2):
        await asyncio.sleep(0)
