"""The limit on requests per second that an endpoint states for all gateways together."""

import logging
from typing import NamedTuple

__all__ = ["LimitNotice", "RequestLimit"]

logger = logging.getLogger(__name__)

MAX_LOGGED_CHARACTERS = 40


class LimitNotice(NamedTuple):
    """Request limit that an endpoint stated in an answer.

    `rate_per_s` is in requests per second over all gateways, None if `text` cannot be read.
    """

    text: str
    rate_per_s: float | None


class RequestLimit:
    """The latest request limit that one incarnation of an endpoint stated.

    Times are monotonic seconds.
    """

    def __init__(self, instance: str) -> None:
        # Requests per second of all gateways together, None without a limit.
        self.rate_per_s: float | None = None
        self._instance = instance
        # Time at which the last answer that stated a limit was received.
        self._stated_s = float("-inf")
        self._unreadable_logged = False

    def record_answer(self, notice: LimitNotice | None, sent_s: float, now: float) -> None:
        """Record the notice in an answer, None if it has none, to a request sent at `sent_s`.

        Answers on different connections overtake each other. An answer therefore raises or ends a
        limit only if its request was sent after the answer that stated the limit.
        """
        if notice is not None and notice.rate_per_s is None:
            self._log_unreadable(notice.text)
            return
        rate_per_s = None if notice is None else notice.rate_per_s
        if rate_per_s is not None and (self.rate_per_s is None or rate_per_s <= self.rate_per_s):
            self._stated_s = now
        elif sent_s < self._stated_s:
            return
        elif rate_per_s is not None:
            self._stated_s = now
        self._set(rate_per_s)

    def _set(self, rate_per_s: float | None) -> None:
        if rate_per_s == self.rate_per_s:
            return
        logger.info(
            "endpoint stated a request limit" if rate_per_s is not None else "request limit ended",
            extra={
                "endpoint": self._instance,
                "limit_per_s": rate_per_s,
                "previous_per_s": self.rate_per_s,
            },
        )
        self.rate_per_s = rate_per_s

    def _log_unreadable(self, text: str) -> None:
        """Log the first unreadable notice; the limit in force stays."""
        if not self._unreadable_logged:
            self._unreadable_logged = True
            logger.warning(
                "unreadable request limit %r ignored",
                text[:MAX_LOGGED_CHARACTERS],
                extra={"endpoint": self._instance, "limit_per_s": self.rate_per_s},
            )
