"""Time slices of tasks that process received bytes."""

import asyncio
import time
from typing import Final

__all__ = ["MAX_PARSE_BYTES", "TimeSlice"]

# Time for which a task may process data at hand before other tasks and timers run.
SLICE_S: Final = 0.005
# Bytes that a parser gets at a time. It parses a whole head before it returns, which takes longer
# than a slice for a request of many short lines; `next_answer_event` limits those of answers.
MAX_PARSE_BYTES: Final = 8 * 1024


class TimeSlice:
    """The time that a task may take before it lets the event loop run everything else.

    A read does not suspend its task while received bytes are in memory. A peer that sends many
    small pieces, or never stops sending, would therefore hold the event loop, and with it every
    other request, timer and readiness check.
    """

    def __init__(self) -> None:
        self._start_s = time.monotonic()

    def restart(self) -> None:
        """Start a new slice, after the task was suspended."""
        self._start_s = time.monotonic()

    async def checkpoint(self) -> None:
        """Suspend the task once if its slice is used up."""
        if time.monotonic() - self._start_s >= SLICE_S:
            await asyncio.sleep(0)
            self.restart()
