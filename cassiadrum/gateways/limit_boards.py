"""The request limits of all endpoints, and what the gateways tell each other about them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from cassiadrum.gateways.endpoint_entries import Incarnation
from cassiadrum.gateways.fleets import FleetShares
from cassiadrum.gateways.request_limits import RequestLimit

__all__ = ["LimitBoard", "LimitNews"]

MAX_LIMITS: Final = 4096
MAX_NEWS: Final = 64
# Time for which the end of a limit is told.
END_NEWS_S: Final = 60.0
# Time after the last answer with a limit for which it is told; the endpoint may be gone.
LIMIT_NEWS_S: Final = 600.0
# Relative change of a limit below which it is not told again.
MIN_CHANGE: Final = 0.1


class LimitNews(NamedTuple):
    """A request limit, or None for its end, that a gateway learned from an answer.

    `made_s` is in seconds on the clock that all gateways share.
    """

    incarnation: Incarnation
    rate_per_s: float | None
    made_s: float


class LimitBoard:
    """The request limits by incarnation of the endpoint.

    They outlast a registration that expires and returns: the endpoint still states its limit then.
    A gateway that may send nothing to an endpoint cannot learn that a limit rose or ended, so the
    gateways that have a share of it tell the others.
    """

    def __init__(
        self,
        fleet: FleetShares,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        # Called when there is something to tell.
        self.on_news: Callable[[], None] = lambda: None
        self._fleet = fleet
        self._clock = clock
        self._boot_clock = boot_clock
        self._limits: OrderedDict[Incarnation, RequestLimit] = OrderedDict()
        # Boot time of 0 on the shared clock.
        self._zero_s = 0.0
        # Newest news by incarnation: own ones, and those of all gateways.
        self._own_news: dict[Incarnation, LimitNews] = {}
        self._fleet_news: dict[Incarnation, LimitNews] = {}

    def for_incarnation(self, incarnation: Incarnation) -> RequestLimit:
        """Return the limit of an incarnation; of many, the least recently used is forgotten."""
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = RequestLimit(
                incarnation.instance,
                self._fleet,
                lambda rate_per_s, now: self._record_change(incarnation, rate_per_s, now),
            )
            self._limits[incarnation] = limit
        self._limits.move_to_end(incarnation)
        if len(self._limits) > MAX_LIMITS:
            self._limits.popitem(last=False)
        return limit

    def own_news(self) -> list[LimitNews]:
        """Return what this gateway tells the others, newest first."""
        self._own_news = {
            key: news for key, news in self._own_news.items() if self._is_current(news)
        }
        newest_first = sorted(self._own_news.values(), key=lambda news: -news.made_s)
        return newest_first[:MAX_NEWS]

    def adopt(self, all_news: Iterable[LimitNews]) -> None:
        """Tell what an earlier process of this machine told, unless others tell newer."""
        for news in all_news:
            newest = self._fleet_news.get(news.incarnation, news)
            if not _differs(news.rate_per_s, newest.rate_per_s):
                self._own_news.setdefault(news.incarnation, news)

    def apply_news(self, all_news: Iterable[LimitNews], zero_s: float) -> None:
        """Apply what the gateways tell; `zero_s` is the boot time of 0 on the shared clock."""
        self._zero_s = zero_s
        for news in all_news:
            known = self._fleet_news.get(news.incarnation)
            if known is None or known.made_s < news.made_s:
                self._apply(news)
        for incarnation in self._fleet_news.keys() - self._limits.keys():
            del self._fleet_news[incarnation]

    def _apply(self, news: LimitNews) -> None:
        self._fleet_news[news.incarnation] = news
        now = self._clock()
        made_s = now - (self._shared_now() - news.made_s)
        self.for_incarnation(news.incarnation).record_news(news.rate_per_s, made_s, now)
        own = self._own_news.get(news.incarnation)
        superseded = own is not None and own.made_s < news.made_s
        if own is not None and superseded and _differs(news.rate_per_s, own.rate_per_s):
            # Outdated news would mislead gateways that start later.
            del self._own_news[news.incarnation]
            self.on_news()

    def _is_current(self, news: LimitNews) -> bool:
        if news.rate_per_s is None:
            return news.made_s > self._shared_now() - END_NEWS_S
        limit = self._limits.get(news.incarnation)
        return limit is not None and limit.stated_s > self._clock() - LIMIT_NEWS_S

    def _shared_now(self) -> float:
        return self._boot_clock() - self._zero_s

    def _record_change(
        self, incarnation: Incarnation, rate_per_s: float | None, now: float
    ) -> None:
        """Tell a limit that an answer changed, unless it is known or others use the endpoint."""
        known_news = [
            news
            for news in (self._own_news.get(incarnation), self._fleet_news.get(incarnation))
            if news is not None
        ]
        newest = max(known_news, key=lambda news: news.made_s, default=None)
        if newest is not None and not _differs(rate_per_s, newest.rate_per_s):
            return
        if not self.for_incarnation(incarnation).has_own_part():
            return
        made_s = self._shared_now() - (self._clock() - now)
        self._own_news[incarnation] = LimitNews(incarnation, rate_per_s, made_s)
        self.on_news()


def _differs(rate_per_s: float | None, known_per_s: float | None) -> bool:
    if rate_per_s is None or known_per_s is None:
        return rate_per_s != known_per_s
    return abs(rate_per_s - known_per_s) > MIN_CHANGE * known_per_s
