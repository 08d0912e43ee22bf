"""Pool of persistent connections to all endpoints."""

import logging
from collections import deque

from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_entries import Incarnation

__all__ = ["ConnectionPool"]

logger = logging.getLogger(__name__)

# Below the one second after which a lost SYN is retransmitted, since trying another endpoint is
# faster.
CONNECT_TIMEOUT_S = 0.4
# Idle timeout of a connection whose endpoint does not state a shorter one.
DEFAULT_IDLE_S = 4.0
# Seen from the gateway, endpoints close connections slightly before the time that they state.
IDLE_MARGIN_S = 0.7
# Idle time up to which a connection is used for once-only calls, which must not be sent on one
# that the endpoint is about to close.
RECENT_USE_S = 1.0


class ConnectionPool:
    """Idle connections for reuse by one request at a time, by incarnation of the endpoint."""

    def __init__(self) -> None:
        self._idle: dict[Incarnation, deque[EndpointConnection]] = {}

    async def acquire(
        self, target: Incarnation, now: float, *, recently_used: bool = False
    ) -> EndpointConnection:
        """Return an idle or a new connection; raise ConnectFailed.

        With `recently_used`, an idle connection is reused only shortly after its last use.
        """
        idle = self._idle.get(target)
        while idle:
            conn = idle.pop()
            left_s = conn.idle_until_s - now
            recent = not recently_used or left_s > DEFAULT_IDLE_S - IDLE_MARGIN_S - RECENT_USE_S
            if conn.usable and left_s > 0.0 and recent:
                return conn
            conn.abort()
        return await EndpointConnection.open(target.address, CONNECT_TIMEOUT_S)

    def release(
        self, target: Incarnation, conn: EndpointConnection, idle_s: float | None, now: float
    ) -> None:
        """Return a connection to the pool after its answer was read completely."""
        if not conn.finish():
            return
        idle_s = DEFAULT_IDLE_S if idle_s is None else min(idle_s, DEFAULT_IDLE_S)
        conn.idle_until_s = now + idle_s - IDLE_MARGIN_S
        if conn.idle_until_s <= now:
            conn.abort()
            return
        self._idle.setdefault(target, deque()).append(conn)

    def close_idle(self, target: Incarnation) -> None:
        """Close the idle connections to an endpoint."""
        for conn in self._idle.pop(target, ()):
            conn.abort()

    def expire(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for idle in self._idle.values():
            while idle and (idle[0].idle_until_s <= now or not idle[0].usable):
                idle.popleft().abort()

    def close(self) -> None:
        """Close all idle connections."""
        for target in list(self._idle):
            self.close_idle(target)
