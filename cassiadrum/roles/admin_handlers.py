"""The HTTP interface towards operators."""

from collections.abc import Callable
from typing import Any

from cassiadrum.events import EventRing, encode_event
from cassiadrum.protocols import Exchange

__all__ = ["AdminHandler"]

EVENTS_LIMIT = 2000


class AdminHandler:
    """Serve status and events of a process; `status` returns a JSON object.

    `permits` judges the Authorization header.
    """

    def __init__(
        self,
        ring: EventRing,
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        permits: Callable[[str], bool],
    ) -> None:
        self._ring = ring
        self._status = status
        self._drain = drain
        self._permits = permits

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        req = exchange.req
        if not self._permits(req.header("authorization")):
            challenge = (("www-authenticate", "Bearer"),)
            await exchange.send_json(401, {"error": "a bearer token is required"}, challenge)
        elif req.method == "GET" and req.path == "/admin/status":
            await exchange.send_json(200, self._status())
        elif req.method == "GET" and req.path == "/admin/events":
            after = int(req.query.removeprefix("after=") or 0)
            events = [encode_event(event) for event in self._ring.after(after, EVENTS_LIMIT)]
            await exchange.send_json(200, {"events": events, "last": self._ring.last_sequence})
        elif req.method == "POST" and req.path == "/admin/drain":
            self._drain()
            await exchange.send_json(202, {"draining": True})
        else:
            await exchange.send_json(404, {"error": "not found"})
