"""Time limit of a call that does not count a stall of the event loop."""

import asyncio
from types import TracebackType
from typing import Final, Self

__all__ = ["CallTimeout"]

# Longest extension in seconds of a call that can be repeated. Its connection may have been lost
# silently while the process was stopped, and a new attempt must not begin much later.
MAX_EXTENSION_S: Final = 0.25


class CallTimeout:
    """A context that ends after `limit_s` seconds by TimeoutError.

    If the event loop stood still at the end of the limit, the limit is extended once by the time
    that the check is late, up to `max_extension_s`. asyncio handles the bytes that arrived during
    a stall and the timers that became due in one iteration, so that a plain timeout would cancel a
    call whose answer is already there.
    """

    def __init__(self, limit_s: float, max_extension_s: float = MAX_EXTENSION_S) -> None:
        self._limit_s = limit_s
        self._max_extension_s = max_extension_s
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        await self._timeout.__aenter__()
        self._start(self._limit_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(kind, exc, trace)

    def _start(self, limit_s: float) -> None:
        """Let the context end after a time from now, unless it has ended already."""
        if self._timeout.expired():
            return
        if self._handle is not None:
            self._handle.cancel()
        self._timeout.reschedule(None)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + limit_s
        self._handle = loop.call_at(due_s, self._extend, due_s)

    def _extend(self, due_s: float) -> None:
        """Let the context end after another time as long as this check is late."""
        now = asyncio.get_running_loop().time()
        self._timeout.reschedule(now + min(max(0.0, now - due_s), self._max_extension_s))
