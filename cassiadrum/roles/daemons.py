"""What both roles have in common: start, graceful shutdown, stop."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from cassiadrum.events import EventRing

__all__ = ["Daemon"]


class Daemon(ABC):
    """Run a role's tasks; `addresses` holds the bound HOST:PORT by name after `start`."""

    def __init__(self, ring: EventRing) -> None:
        self.ring = ring
        self.addresses: dict[str, str] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    @abstractmethod
    async def start(self) -> None:
        """Bind the addresses and start the tasks."""

    @abstractmethod
    def begin_drain(self) -> None:
        """Take no new work; may be called again without effect."""

    @abstractmethod
    def in_flight(self) -> int:
        """Return the number of requests that are not finished."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the state that operators ask for."""

    @abstractmethod
    async def close(self) -> None:
        """Stop at once."""

    async def drained(self) -> None:
        """Wait until nothing is in flight."""
        # The count is spread over several tasks, so it is polled.
        while self.in_flight():  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
