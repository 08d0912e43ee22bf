"""The HTTP interface towards operators."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from cassiadrum.events import EventRing, encode_event
from cassiadrum.protocols import Exchange

__all__ = ["AdminHandler"]

EVENTS_LIMIT = 2000
# A reader that polled within this time is expected to come for the last events too.
READER_ACTIVE_S = 2.0
LAST_READ_LIMIT_S = 1.0


class AdminHandler:
    """Serve status and events of a process; `status` returns a JSON object."""

    def __init__(
        self, ring: EventRing, status: Callable[[], dict[str, Any]], drain: Callable[[], None]
    ) -> None:
        self._ring = ring
        self._status = status
        self._drain = drain
        self._read_s = float("-inf")
        self._read_sequence = 0

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        req = exchange.req
        if req.method == "GET" and req.path == "/admin/status":
            await exchange.send_json(200, self._status())
        elif req.method == "GET" and req.path == "/admin/events":
            after = int(req.query.removeprefix("after=") or 0)
            events = [encode_event(event) for event in self._ring.after(after, EVENTS_LIMIT)]
            last = self._ring.last_sequence
            await exchange.send_json(200, {"events": events, "last": last})
            self._read_s, self._read_sequence = time.monotonic(), after + len(events)
        elif req.method == "POST" and req.path == "/admin/drain":
            self._drain()
            await exchange.send_json(202, {"draining": True})
        else:
            await exchange.send_json(404, {"error": "not found"})

    async def last_events_read(self) -> None:
        """Wait until an active reader has the last event, at most LAST_READ_LIMIT_S."""
        end_s = time.monotonic() + LAST_READ_LIMIT_S
        while self._read_sequence < self._ring.last_sequence and time.monotonic() < end_s:
            if time.monotonic() - self._read_s > READER_ACTIVE_S:
                return
            await asyncio.sleep(0.02)
