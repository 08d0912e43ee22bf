"""Log and count of the server connections that end unanswered."""

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import Final

__all__ = ["UnansweredConnections", "UnansweredReason"]

logger = logging.getLogger(__name__)


class UnansweredReason(StrEnum):
    """Why a connection ended without a complete answer."""

    # The idle timeout ended the connection although bytes of a request had been received.
    IDLE_TIMEOUT = "idle_timeout"
    # At the connection limit a new connection was refused, or an idle one closed for a new one.
    LIMIT_REFUSED = "limit_refused"
    LIMIT_CLOSED = "limit_closed"
    # The handler broke the answer off.
    HANDLER_ABORTED = "handler_aborted"
    # The handler raised an exception, or the connection failed with an unexpected one.
    HANDLER_FAILED = "handler_failed"
    # Closed by the shutdown, with a request begun or without one.
    SHUTDOWN_REQUEST = "shutdown_request"
    SHUTDOWN_IDLE = "shutdown_idle"
    # The caller closed or reset the connection.
    CALLER_LEFT = "caller_left"


# Each reason has its own message, since repetitions are limited by message: callers that leave
# must not crowd out the other reasons.
MESSAGES: Final = {
    UnansweredReason.IDLE_TIMEOUT: "unanswered: idle timeout with received bytes",
    UnansweredReason.LIMIT_REFUSED: "unanswered: new connection refused at the connection limit",
    UnansweredReason.LIMIT_CLOSED: "unanswered: idle connection closed at the connection limit",
    UnansweredReason.HANDLER_ABORTED: "unanswered: answer broken off by the handler",
    UnansweredReason.HANDLER_FAILED: "unanswered: the handler failed",
    UnansweredReason.SHUTDOWN_REQUEST: "unanswered: request closed by the shutdown",
    UnansweredReason.SHUTDOWN_IDLE: "unanswered: idle connection closed by the shutdown",
    UnansweredReason.CALLER_LEFT: "unanswered: the caller left",
}
# Expected at every stop, and the caller's choice.
USUAL_REASONS: Final = frozenset({UnansweredReason.SHUTDOWN_IDLE, UnansweredReason.CALLER_LEFT})


class UnansweredConnections:
    """Log and count of unanswered connections; `count(reason)` counts one."""

    def __init__(self, count: Callable[[str], None] | None) -> None:
        self._count = count

    def record(self, reason: UnansweredReason, caller: str, request_id: str = "") -> None:
        """Log and count one; `caller` is its address, `request_id` is empty if not known."""
        level = logging.INFO if reason in USUAL_REASONS else logging.WARNING
        # Not `request_id`: the lines of a request that have it end with the one on its outcome.
        extra = {"request": request_id, "reason": reason.value, "caller": caller}
        logger.log(level, MESSAGES[reason], extra=extra)
        if self._count is not None:
            self._count(reason.value)
