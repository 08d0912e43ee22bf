"""Queue of the messages to a task that owns state."""

import asyncio
from typing import Generic, TypeVar

from cassiadrum.protocols import TimeSlice

__all__ = ["Inbox"]

Msg = TypeVar("Msg")


class Inbox(Generic[Msg]):
    """The messages to one task, in order.

    Taking a message does not suspend the task while there are others, so a burst of messages is
    handled in time slices.
    """

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Msg] = asyncio.Queue()
        self._time_slice = TimeSlice()

    def put(self, msg: Msg) -> None:
        """Add a message."""
        self._queue.put_nowait(msg)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no message."""
        return self._queue.empty()

    async def get(self) -> Msg:
        """Remove and return the oldest message; wait for one if there is none."""
        if not self._queue.empty():
            await self._time_slice.checkpoint()
            return self._queue.get_nowait()
        msg = await self._queue.get()
        self._time_slice.restart()
        return msg
