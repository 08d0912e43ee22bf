"""News of the request limits of endpoints."""

from collections.abc import Iterable
from typing import Final

from cassiadrum.gateways import Incarnation, LimitBoard, LimitNews
from cassiadrum.platform.fleet_news import FleetNews, NewsTiming
from cassiadrum.platform.member_rows import LimitRow, MemberRow
from cassiadrum.settings.addresses import Address

__all__ = ["LIMIT_NEWS_INTERVAL_S", "LimitFleetNews"]

LIMIT_NEWS_INTERVAL_S: Final = 1.0


class LimitFleetNews(FleetNews):
    """The news of a limit board in rows."""

    def __init__(self, board: LimitBoard) -> None:
        super().__init__()
        self._board = board
        board.on_news = lambda: self.on_news(NewsTiming(LIMIT_NEWS_INTERVAL_S, 0.0))

    def encode(self, row: MemberRow, zero_s: float) -> None:
        """Put the limits that this gateway tells into its row."""
        row.limits = [_encode(news) for news in self._board.own_news()]

    def adopt(self, row: MemberRow, zero_s: float, *, registered: bool) -> None:
        """Take over the limits of an earlier process that is still registered."""
        if registered:
            self._board.adopt(map(_decode, row.limits))

    def apply(self, rows: Iterable[MemberRow], zero_s: float) -> None:
        """Apply the limits that gateways tell."""
        self._board.apply_news((_decode(limit) for row in rows for limit in row.limits), zero_s)


def _encode(news: LimitNews) -> LimitRow:
    incarnation = news.incarnation
    return LimitRow(
        incarnation.instance,
        str(incarnation.address),
        incarnation.started_ms,
        news.rate_per_s,
        news.made_s * 1000,
    )


def _decode(row: LimitRow) -> LimitNews:
    """Return the news of a limit in a row that `decode_member` has checked."""
    incarnation = Incarnation(row.instance, Address.parse_peer(row.address), row.started_ms)
    return LimitNews(incarnation, row.rate_per_s, row.made_ms / 1000)
