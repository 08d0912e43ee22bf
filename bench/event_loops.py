"""Event loop in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

__all__ = ["EventLoop"]


class EventLoop:
    """Runs callbacks in order of virtual time; callbacks with equal times run in FIFO order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, when_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule `callback` at `when_s`, or at the current time if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when_s, self.now), self._sequence, callback, args))

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule `callback` after `delay_s` seconds."""
        self.call_at(self.now + delay_s, callback, *args)

    def run(self, done: Callable[[], bool], limit_s: float) -> None:
        """Run until `done` returns True, the queue is empty or the time would pass `limit_s`."""
        while self._heap and not done():
            when_s, _, callback, args = heapq.heappop(self._heap)
            if when_s > limit_s:
                return
            self.now = when_s
            callback(*args)
