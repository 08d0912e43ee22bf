"""The requests that a gateway still has when it stops."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from enum import Enum

from cassiadrum.gateways.drain_limits import DEADLINE_GRACE_S, DrainLimit
from cassiadrum.gateways.errors import IMMEDIATE_RETRY_AFTER_S, Refused
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.protocols import Exchange

__all__ = ["DRAINING", "DrainResult", "RequestDrain"]

# Reason of answers that the gateway gives because it stops.
DRAINING = "draining"


class DrainResult(Enum):
    """What became of a request that a stopping gateway did not let finish."""

    REFUSED = "refused"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"


class RequestDrain:
    """Ends requests at their deadline, and in a planned stop at the end of the grace time.

    `clock` returns monotonic seconds. Until the stop begins, nothing is refused.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.limit = DrainLimit()
        # Requests that were not allowed to finish, by service and result.
        self.counts: Counter[tuple[str, DrainResult]] = Counter()
        self._clock = clock
        self._running: dict[RequestContext, asyncio.Timeout] = {}
        self._waiting: dict[RequestContext, asyncio.Timeout] = {}
        self._exchanges: dict[RequestContext, Exchange] = {}

    def begin(self, end_s: float) -> None:
        """Begin a stop whose grace time ends at `end_s`; later calls have no effect."""
        if self.limit.end_s <= end_s:
            return
        self.limit.end_s = end_s
        for ctx, timeout in self._running.items():
            self._reschedule(timeout, self._end_s(ctx))
        for ctx, timeout in self._waiting.items():
            self._reschedule(timeout, self._latest_send_s(ctx))

    @contextlib.asynccontextmanager
    async def running(self, ctx: RequestContext, exchange: Exchange) -> AsyncIterator[None]:
        """Limit the time of a request; raise TimeoutError at the deadline or the end."""
        timeout = asyncio.timeout_at(self._loop_time(self._end_s(ctx)))
        self._running[ctx] = timeout
        self._exchanges[ctx] = exchange
        try:
            async with timeout:
                yield
        finally:
            del self._running[ctx]
            del self._exchanges[ctx]
            self.limit.record_end(ctx, self._clock())

    @contextlib.asynccontextmanager
    async def waiting(self, ctx: RequestContext) -> AsyncIterator[None]:
        """Limit a wait for an endpoint; raise Refused when the time left no longer suffices."""
        self.check(ctx)
        timeout = asyncio.timeout_at(self._loop_time(self._latest_send_s(ctx)))
        self._waiting[ctx] = timeout
        try:
            async with timeout:
                yield
        except TimeoutError as exc:
            if not timeout.expired():
                raise
            raise self._refusal(ctx) from exc
        finally:
            del self._waiting[ctx]

    def check(self, ctx: RequestContext) -> None:
        """Raise Refused if the time left does not suffice to send the request to an endpoint."""
        if not self.has_time(ctx):
            raise self._refusal(ctx)

    def has_time(self, ctx: RequestContext) -> bool:
        """Return whether the time left suffices to send the request to an endpoint."""
        return self._clock() <= self._latest_send_s(ctx)

    def count(self, ctx: RequestContext, result: DrainResult) -> None:
        """Count a request that was not allowed to finish."""
        self.counts[ctx.service, result] += 1

    def totals(self) -> dict[str, int]:
        """Return the number of requests by result, for the log."""
        return {
            result.value: sum(count for (_, res), count in self.counts.items() if res is result)
            for result in DrainResult
        }

    def _end_s(self, ctx: RequestContext) -> float:
        return min(ctx.deadline_s + DEADLINE_GRACE_S, self.limit.end_s)

    def _latest_send_s(self, ctx: RequestContext) -> float:
        """Return the latest time to send a request; a started stream may resume until the end."""
        exchange = self._exchanges.get(ctx)
        if exchange is not None and exchange.started:
            return self.limit.end_s
        return self.limit.latest_send_s(ctx, self._clock())

    def _refusal(self, ctx: RequestContext) -> Refused:
        left_ms = round((self.limit.end_s - self._clock()) * 1000)
        return Refused(DRAINING, IMMEDIATE_RETRY_AFTER_S, left_ms=left_ms)

    def _reschedule(self, timeout: asyncio.Timeout, when_s: float) -> None:
        if not timeout.expired():
            timeout.reschedule(self._loop_time(when_s))

    def _loop_time(self, when_s: float) -> float | None:
        """Return a time of `clock` on the clock of the event loop, None for never."""
        if when_s == float("inf"):
            return None
        return asyncio.get_running_loop().time() + (when_s - self._clock())
