"""The HTTP admin interface."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from cassiadrum.events import EventRing, encode_event
from cassiadrum.protocols import Exchange, Handler

__all__ = ["AdminHandler"]

MAX_EVENTS = 2000
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SERVICES_PREFIX = "/admin/services/"
# A reader that polled within this time is expected to fetch the final events as well.
READER_ACTIVE_S = 2.0
LAST_READ_TIMEOUT_S = 1.0


class AdminHandler:
    """Handler for the status, events, metrics and drain of a process.

    `status` returns a JSON object, `metrics` the metrics in Prometheus text format.
    `is_authorized` checks the value of the Authorization header. `service_handler` handles changes
    of service documents, which only entry instances accept.
    """

    def __init__(
        self,
        ring: EventRing,
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        metrics: Callable[[], bytes],
        is_authorized: Callable[[str], bool],
        service_handler: Handler | None = None,
    ) -> None:
        self._ring = ring
        self._status = status
        self._drain = drain
        self._service_handler = service_handler
        self._metrics = metrics
        self._last_read_s = float("-inf")
        self._last_read_sequence = 0
        self._is_authorized = is_authorized

    async def __call__(self, exchange: Exchange) -> None:
        """Handle one HTTP exchange."""
        req = exchange.req
        if not self._is_authorized(req.header("authorization")):
            challenge = (("www-authenticate", "Bearer"),)
            await exchange.send_json(401, {"error": "a bearer token is required"}, challenge)
        elif req.method == "GET" and req.path == "/admin/status":
            await exchange.send_json(200, self._status())
        elif req.method == "GET" and req.path == "/metrics":
            await exchange.send(200, self._metrics(), METRICS_CONTENT_TYPE)
        elif req.method == "GET" and req.path == "/admin/events":
            await self._send_events(exchange)
        elif req.method == "POST" and req.path == "/admin/drain":
            self._drain()
            await exchange.send_json(202, {"draining": True})
        elif self._service_handler is not None and req.path.startswith(SERVICES_PREFIX):
            await self._service_handler(exchange)
        else:
            await exchange.send_json(404, {"error": "not found"})

    async def _send_events(self, exchange: Exchange) -> None:
        after = exchange.req.query.removeprefix("after=") or "0"
        if not after.isdecimal():
            await exchange.send_json(400, {"error": "the query allows only `after`, a number"})
            return
        events = [encode_event(event) for event in self._ring.read_after(int(after), MAX_EVENTS)]
        # A new start id tells a reader that the sequence numbers have started again.
        answer = {"last": self._ring.last_sequence, "start_id": self._ring.start_id}
        await exchange.send_json(200, {"events": events, **answer})
        self._last_read_s, self._last_read_sequence = time.monotonic(), int(after) + len(events)

    async def wait_for_reader(self) -> None:
        """Wait until an active reader has fetched the last event, at most LAST_READ_TIMEOUT_S."""
        end_s = time.monotonic() + LAST_READ_TIMEOUT_S
        while self._last_read_sequence < self._ring.last_sequence and time.monotonic() < end_s:
            if time.monotonic() - self._last_read_s > READER_ACTIVE_S:
                return
            await asyncio.sleep(0.02)
