"""The limit on requests per second that an endpoint states for all gateways together."""

import logging
from collections.abc import Callable
from typing import Final, NamedTuple

from cassiadrum.gateways.fleets import FleetShares

__all__ = ["LimitNotice", "RequestLimit"]

logger = logging.getLogger(__name__)

MAX_LOGGED_CHARACTERS: Final = 40
# Rate at which an endpoint with a lower limit is asked whether the limit still holds.
MIN_RATE_PER_S: Final = 0.1
# Gateways that may use an endpoint at a time: this many, and more for each request per second.
# Each may send one request at any moment, so more of them could exceed the limit within seconds.
BASE_HOLDERS: Final = 2
HOLDERS_PER_RATE: Final = 2.0
# Time for which unused requests of all gateways add up.
BURST_S: Final = 1.0
# Time after which a gateway without a share may have got one.
SHARE_RECHECK_S: Final = 1.0


class LimitNotice(NamedTuple):
    """Request limit that an endpoint stated in an answer.

    `rate_per_s` is in requests per second over all gateways, None if `text` cannot be read.
    """

    text: str
    rate_per_s: float | None


class RequestLimit:
    """The request limit that one incarnation of an endpoint states, and this gateway's part of it.

    The part is a token bucket without an initial token, so that gateways that learn of a limit at
    the same time do not begin with a burst. Load probes use it as well. Times are monotonic
    seconds.
    """

    def __init__(
        self,
        instance: str,
        fleet: FleetShares,
        on_change: Callable[[float | None, float], None] = lambda rate_per_s, now: None,
    ) -> None:
        # Requests per second of all gateways together, None without a limit.
        self.rate_per_s: float | None = None
        self._instance = instance
        self._fleet = fleet
        # Called with the new rate and the time when an answer changed the limit.
        self._on_change = on_change
        # Time of the newest knowledge of the limit or of its absence.
        self._known_s = float("-inf")
        self._tokens = 0.0
        self._refilled_s = 0.0
        # Time at which the last answer that stated a limit was received, here or by the gateway
        # that told it.
        self.stated_s = float("-inf")
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
        lowers = rate_per_s is not None and (
            self.rate_per_s is None or rate_per_s <= self.rate_per_s
        )
        if not lowers and sent_s < self.stated_s:
            return
        if rate_per_s is not None:
            self.stated_s = now
        self._known_s = max(self._known_s, now if rate_per_s is not None else sent_s)
        if rate_per_s != self.rate_per_s:
            self._set(rate_per_s, now)
            self._on_change(rate_per_s, now)

    def record_news(self, rate_per_s: float | None, made_s: float, now: float) -> None:
        """Record a limit, or its end, that another gateway learned from an answer at `made_s`.

        News that are older than the last own answer are ignored.
        """
        if made_s <= self._known_s:
            return
        self._known_s = made_s
        if rate_per_s is not None:
            self.stated_s = made_s
        if rate_per_s != self.rate_per_s:
            self._set(rate_per_s, now)

    def own_rate_per_s(self) -> float:
        """Return the requests per second that this gateway may send, infinite without a limit."""
        if self.rate_per_s is None:
            return float("inf")
        rate_per_s = max(MIN_RATE_PER_S, self.rate_per_s)
        return rate_per_s * self._fleet.share(self._instance, _max_holders(rate_per_s))

    def has_own_part(self) -> bool:
        """Return whether this gateway may use the endpoint, now or once its list is current."""
        if self.rate_per_s is None:
            return True
        return self._fleet.is_holder(self._instance, _max_holders(self.rate_per_s))

    def wait_s(self, now: float) -> float:
        """Return the seconds until this gateway may send a request, 0 if it may now."""
        if self.rate_per_s is None:
            return 0.0
        own_per_s = self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / own_per_s if own_per_s > 0.0 else SHARE_RECHECK_S

    def take(self, now: float) -> None:
        """Use one request; the caller has checked `wait_s`."""
        if self.rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def _refill(self, now: float) -> float:
        """Add the tokens since the last call and return the own rate."""
        own_per_s = self.own_rate_per_s()
        gained = max(0.0, now - self._refilled_s) * own_per_s
        # A part that is shared by few gateways has room for more than one request.
        self._tokens = min(max(1.0, BURST_S * own_per_s), self._tokens + gained)
        if own_per_s == 0.0:
            self._tokens = 0.0
        self._refilled_s = now
        return own_per_s

    def _set(self, rate_per_s: float | None, now: float) -> None:
        if self.rate_per_s is None:
            self._tokens, self._refilled_s = 0.0, now
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


def _max_holders(rate_per_s: float) -> int:
    return BASE_HOLDERS + int(HOLDERS_PER_RATE * rate_per_s)
