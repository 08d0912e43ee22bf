"""Sink of the table of the store in which the gateways register."""

import asyncio
import itertools
import logging
from collections.abc import Sequence
from typing import Final

from cassiadrum.gateways import Fleet, FleetMember
from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.fleet_news import FleetNews, NewsTiming
from cassiadrum.platform.followed_tables import TableSink
from cassiadrum.platform.member_rows import MemberRow, decode_member
from cassiadrum.platform.row_pages import ChangedRow, RowPage, RowVersion
from cassiadrum.protocols import TimeSlice

__all__ = ["FLEET_TABLE", "MAX_REMOVED_ROWS", "FleetSink"]

logger = logging.getLogger(__name__)

FLEET_TABLE: Final = "gateways"
# Time after which an expired registration is removed, and the most that one write removes.
EXPIRED_KEPT_S: Final = 600.0
MAX_REMOVED_ROWS: Final = 32
# All gateways detect a restored store at the same time, and have read all rows after this delay.
RESTORED_TIMING: Final = NewsTiming(interval_s=0.0, delay_s=1.0)


class FleetSink(TableSink):
    """Sink of the registrations, which gives the gateway its list of the fleet and the news.

    The store's clock is converted to the boot-time clock of this machine.
    """

    def __init__(self, fleet: Fleet, news: Sequence[FleetNews], name: str) -> None:
        self._fleet = fleet
        self._news = news
        self._name = name
        self._rows: dict[str, MemberRow] = {}
        self._versions: dict[str, int] = {}
        # Whether all registrations were read.
        self.has_full_list = False
        # Boot time of 0 on the store's clock, from the latest answer.
        self.store_zero_s = 0.0
        # Set when the registrations were read.
        self.updated = asyncio.Event()
        # Set when the store answers again after an outage.
        self.store_is_back = asyncio.Event()

    @property
    def own(self) -> MemberRow | None:
        """Return this gateway's registration, None without one."""
        return self._rows.get(self._name)

    @property
    def own_version(self) -> int:
        """Return the version of this gateway's row, 0 if it has none."""
        return self._versions.get(self._name, 0)

    def long_expired(self, now: float) -> list[RowVersion]:
        """Return some of the rows of other gateways whose registration expired long ago."""
        oldest_ms = (now - EXPIRED_KEPT_S - self.store_zero_s) * 1000
        found = (
            RowVersion(name, self._versions[name])
            for name, row in self._rows.items()
            if row.expires_ms < oldest_ms and name != self._name and not self._has_news(row, now)
        )
        return list(itertools.islice(found, MAX_REMOVED_ROWS))

    async def replace(self, page: RowPage) -> None:
        """Replace all registrations."""
        members = await self._decode(page.rows)
        self._rows.clear()
        self._versions.clear()
        self.has_full_list = True
        self._apply(page, members)

    async def apply_changes(self, page: RowPage) -> None:
        """Add, change or remove registrations."""
        self._apply(page, await self._decode(page.rows))

    async def _decode(self, rows: Sequence[ChangedRow]) -> list[MemberRow | None]:
        """Return the registrations in rows, None for one that was removed or cannot be read."""
        time_slice = TimeSlice()
        members = []
        for row in rows:
            await time_slice.checkpoint()
            members.append(_decode_row(row))
        return members

    def _apply(self, page: RowPage, members: Sequence[MemberRow | None]) -> None:
        for row, member in zip(page.rows, members, strict=True):
            self._put(row, member)
        # The store made the answer at `received_s` at the latest.
        self.store_zero_s = page.received_s - page.store_s
        self._update_fleet()
        self._fleet.confirm(page.sent_s)
        changed = [member for member in members if member is not None]
        for news in self._news:
            news.apply(changed, self.store_zero_s)
        self.updated.set()

    def record_own(self, row: MemberRow, version: int) -> None:
        """Record a registration that the store has accepted, ahead of the next read."""
        self._rows[self._name] = row
        self._versions[self._name] = version
        self._update_fleet()

    def record_unchanged(self, page: RowPage) -> None:
        """Record that the list of members is current."""
        self._fleet.confirm(page.sent_s)

    def store_returned(self, last_answer_s: float | None) -> None:
        """Let a registration that failed be tried again."""
        self.store_is_back.set()

    def store_restored(self) -> None:
        """Have this gateway's row written again, as the copy may lack its latest news.

        The fleet keeps members for some time that a new list lacks.
        """
        for news in self._news:
            news.on_news(RESTORED_TIMING)

    def _has_news(self, row: MemberRow, now: float) -> bool:
        return any(news.is_needed(row, now, self.store_zero_s) for news in self._news)

    def _update_fleet(self) -> None:
        zero_s = self.store_zero_s
        members = [
            FleetMember(
                name,
                zero_s + row.joined_ms / 1000 + self._fleet.outdated_s,
                zero_s + row.expires_ms / 1000,
            )
            for name, row in self._rows.items()
        ]
        self._fleet.replace(members, self.store_zero_s)

    def _put(self, row: ChangedRow, member: MemberRow | None) -> None:
        self._rows.pop(row.key, None)
        self._versions.pop(row.key, None)
        if row.content is not None:
            self._versions[row.key] = row.version
        if member is not None:
            self._rows[row.key] = member


def _decode_row(row: ChangedRow) -> MemberRow | None:
    if row.content is None:
        return None
    try:
        return decode_member(row)
    except BadRecord as exc:
        logger.warning("registration of a gateway rejected: %s", exc)
        return None
