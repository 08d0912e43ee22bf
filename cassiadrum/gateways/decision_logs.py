"""Log lines of the decisions on each request."""

import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.gateways.tickets import Ticket
from cassiadrum.logs import BOUNDED_FIELD
from cassiadrum.stores.token_buckets import TokenBucket

__all__ = ["DecisionLog"]

logger = logging.getLogger(__name__)

# Lines of requests that were answered well, and of all others.
LINES_PER_S = 40.0
BURST_LINES = 200.0
FAILED_LINES_PER_S = 400.0
FAILED_BURST_LINES = 4000.0
# What is kept of one request until its end.
LINES_PER_REQUEST = 40


class _Line(NamedTuple):
    at_s: float
    # Seconds since the Unix epoch, to merge the lines of several processes.
    wall_s: float
    event: str
    fields: dict[str, object]


class DecisionLog:
    """Keep the decisions on each request until its end, then write them.

    A request is written whole or not at all. Those that were refused, denied or failed have a rate
    of their own, ten times as high, so that load from requests that go well leaves none of them
    out. What was left out is counted in the next line that is written.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lines: dict[Ticket, list[_Line]] = {}
        self._well = TokenBucket(LINES_PER_S, BURST_LINES)
        self._failed = TokenBucket(FAILED_LINES_PER_S, FAILED_BURST_LINES)
        self._left_out = 0

    def note(self, ticket: Ticket, event: str, **fields: object) -> None:
        """Take a decision with the inputs that decided it."""
        lines = self._lines.setdefault(ticket, [])
        if len(lines) < LINES_PER_REQUEST:
            lines.append(_Line(self._clock(), time.time(), event, fields))

    def end(self, ticket: Ticket, outcome: str, *, well: bool, **fields: object) -> None:
        """Take the end of a request."""
        self.note(ticket, "ended", outcome=outcome, sends=ticket.sends, **fields)
        lines = self._lines.pop(ticket)
        bucket = self._well if well else self._failed
        if bucket.reserve(self._clock(), 0.0, len(lines)) is None:
            self._left_out += len(lines)
            return
        for line in lines:
            self._write(ticket, line)

    def _write(self, ticket: Ticket, line: _Line) -> None:
        extra: dict[str, object] = {
            "request_id": ticket.call.request_id,
            "service": ticket.service,
            BOUNDED_FIELD: True,
            "at_s": round(line.wall_s, 4),
            "after_ms": round((line.at_s - ticket.received_s) * 1000, 1),
            **line.fields,
        }
        if self._left_out:
            extra["left_out"] = self._left_out
            self._left_out = 0
        logger.info(line.event, extra=extra)
