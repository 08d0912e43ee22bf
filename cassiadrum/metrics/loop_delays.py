"""Delay of the event loop, as a periodic timer observes it."""

import asyncio
from typing import Final

__all__ = ["LoopDelay"]

WATCH_INTERVAL_S: Final = 0.1
# Length of the windows by which the recent maximum is forgotten.
WINDOW_S: Final = 60.0


class LoopDelay:
    """The longest delays of a periodic timer, in seconds.

    A task that processes data without suspending delays every other request and timer of its
    process by this time. `longest_s` covers the time since the start, `recent_s` that since the
    beginning of the previous window of 60 s.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._window_end_s = float("-inf")
        self._current_s = 0.0
        self._previous_s = 0.0

    def record(self, late_s: float, now: float) -> None:
        """Record that a timer ran `late_s` after its time, at the monotonic time `now`."""
        if now >= self._window_end_s:
            ended_lately = now < self._window_end_s + WINDOW_S
            self._previous_s = self._current_s if ended_lately else 0.0
            self._current_s = 0.0
            self._window_end_s = now + WINDOW_S
        self._current_s = max(self._current_s, late_s)
        self.longest_s = max(self.longest_s, late_s)

    @property
    def recent_s(self) -> float:
        """Return the longest delay in the current and the previous window."""
        return max(self._current_s, self._previous_s)

    async def watch(self) -> None:
        """Observe the running event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = loop.time()
            self.record(now - due_s, now)
