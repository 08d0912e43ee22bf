"""Log of the decisions on each request."""

import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.stores.token_buckets import TokenBucket

__all__ = ["DecisionLog"]

logger = logging.getLogger(__name__)

# Rate and burst limits of the lines of successful requests, and of all others.
SUCCESS_LINES_PER_S = 40.0
SUCCESS_BURST_LINES = 200.0
FAILURE_LINES_PER_S = 400.0
FAILURE_BURST_LINES = 4000.0
# Lines that are buffered for one request; further ones are dropped.
MAX_LINES_PER_REQUEST = 40


class _Line(NamedTuple):
    at_s: float
    # Unix time in seconds, by which the lines of several processes are merged.
    wall_s: float
    event: str
    fields: dict[str, object]


class DecisionLog:
    """The decisions on each request, which are written to the log when it ends.

    The lines of a request are written completely or not at all. Requests that were refused, denied
    or failed have a separate rate limit, ten times as high, so that successful requests do not
    crowd them out. The next line that is written carries the number of dropped lines.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lines: dict[RequestContext, list[_Line]] = {}
        self._success_bucket = TokenBucket(SUCCESS_LINES_PER_S, SUCCESS_BURST_LINES)
        self._failure_bucket = TokenBucket(FAILURE_LINES_PER_S, FAILURE_BURST_LINES)
        self._left_out = 0

    def record(self, ctx: RequestContext, event: str, **fields: object) -> None:
        """Record a decision with its inputs."""
        lines = self._lines.setdefault(ctx, [])
        if len(lines) < MAX_LINES_PER_REQUEST:
            lines.append(_Line(self._clock(), time.time(), event, fields))

    def finish(self, ctx: RequestContext, outcome: str, *, well: bool, **fields: object) -> None:
        """Record the end of a request and write its lines; `well` marks a successful one."""
        self.record(ctx, "ended", outcome=outcome, sends=ctx.sends, **fields)
        lines = self._lines.pop(ctx)
        bucket = self._success_bucket if well else self._failure_bucket
        if bucket.reserve(self._clock(), 0.0, len(lines)) is None:
            self._left_out += len(lines)
            return
        for line in lines:
            self._write(ctx, line)

    def _write(self, ctx: RequestContext, line: _Line) -> None:
        extra: dict[str, object] = {
            "request_id": ctx.call.request_id,
            "service": ctx.service,
            RATE_LIMITED_FIELD: True,
            "at_s": round(line.wall_s, 4),
            "after_ms": round((line.at_s - ctx.received_s) * 1000, 1),
            **line.fields,
        }
        if self._left_out:
            extra["left_out"] = self._left_out
            self._left_out = 0
        logger.info(line.event, extra=extra)
