"""The table of the store in which the gateways register."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

import msgspec

from cassiadrum.gateways import Fleet, FleetMember, Incarnation, LimitBoard, LimitNews
from cassiadrum.platform.errors import BadRecord, WriteConflict
from cassiadrum.platform.row_stores import ChangedRow, RowPage, RowStore
from cassiadrum.platform.store_followers import TableSink
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["FLEET_TABLE", "FleetRegistration", "FleetSink", "MemberRow"]

logger = logging.getLogger(__name__)

FLEET_TABLE: Final = "gateways"
# Renewals of all gateways together: each write makes all gateways read the changed tables.
RENEWAL_INTERVAL_PER_GATEWAY_S: Final = 20.0
MIN_RENEWAL_INTERVAL_S: Final = 60.0
# A registration outlasts one renewal that fails.
LEASE_INTERVALS: Final = 2.5
# Time for which a write whose answer was lost may still be carried out by the store.
LATE_WRITE_S: Final = 10.0
# Shortest time between two writes for news.
NEWS_INTERVAL_S: Final = 1.0
RETRY_MIN_S: Final = 0.2
RETRY_MAX_S: Final = 1.0


class LimitRow(msgspec.Struct):
    """What a gateway tells about the request limit of an incarnation of an endpoint."""

    instance: str
    address: str
    started_ms: int
    # Requests per second of all gateways together, None at the end of a limit.
    rate_per_s: float | None
    # Time of the answer that told it, in milliseconds on the store's clock.
    made_ms: float


class MemberRow(msgspec.Struct):
    """Registration of a gateway; times are milliseconds on the store's clock."""

    # First registration, and the end of the current one.
    joined_ms: float
    expires_ms: float
    limits: list[LimitRow] = []


class FleetSink(TableSink):
    """Sink of the registrations, which gives the gateway its list of the fleet and the news.

    The store's clock is converted to the boot-time clock of this machine.
    """

    def __init__(self, fleet: Fleet, limits: LimitBoard, name: str) -> None:
        self._fleet = fleet
        self._limits = limits
        self._name = name
        self._rows: dict[str, MemberRow] = {}
        # Whether all registrations were read.
        self.has_full_list = False
        # Version of this gateway's row, 0 if it has none.
        self.own_version = 0
        # Boot time of 0 on the store's clock, from the latest answer.
        self.store_zero_s = 0.0
        # Set when the registrations were read.
        self.updated = asyncio.Event()

    @property
    def is_needed(self) -> bool:
        """Return whether the fleet needs a current list."""
        return self._fleet.is_needed

    @property
    def own(self) -> MemberRow | None:
        """Return this gateway's registration, None without one."""
        return self._rows.get(self._name)

    def replace(self, page: RowPage) -> None:
        """Replace all registrations."""
        self._rows.clear()
        self.own_version = 0
        self.has_full_list = True
        self.apply_changes(page)

    def apply_changes(self, page: RowPage) -> None:
        """Add, change or remove registrations."""
        for row in page.rows:
            self._apply(row)
        # The store made the answer at `received_s` at the latest.
        self.store_zero_s = page.received_s - page.store_s
        self._update_fleet()
        self._fleet.confirm(page.sent_s)
        all_news = (_decode_news(limit) for row in self._rows.values() for limit in row.limits)
        self._limits.apply_news(all_news, self.store_zero_s)
        self.updated.set()

    def record_own(self, row: MemberRow, version: int) -> None:
        """Record a registration that the store has accepted, ahead of the next read."""
        self._rows[self._name] = row
        self.own_version = version
        self._update_fleet()

    def record_unchanged(self, page: RowPage) -> None:
        """Record that the list of members is current."""
        self._fleet.confirm(page.sent_s)

    def store_returned(self) -> None:
        """Do nothing: registrations do not depend on the store's availability."""

    def store_restored(self) -> None:
        """Do nothing: the fleet keeps members for some time that a new list lacks."""

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

    def _apply(self, row: ChangedRow) -> None:
        if row.key == self._name:
            self.own_version = row.version if row.content is not None else 0
        self._rows.pop(row.key, None)
        if row.content is None:
            return
        try:
            self._rows[row.key] = _decode_member(row)
        except BadRecord as exc:
            logger.warning("registration of a gateway rejected: %s", exc)


class FleetRegistration:
    """This gateway's registration in the store, which is renewed while it runs.

    The registration is kept at a stop: most stops are restarts, and a process that finds the
    registration of an earlier one is known to all other gateways at once.
    """

    def __init__(
        self,
        store: RowStore,
        fleet: Fleet,
        limits: LimitBoard,
        sink: FleetSink,
        name: str,
        boot_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._limits = limits
        limits.on_news = self._schedule_news
        self._sink = sink
        self._name = name
        self._boot_clock = boot_clock
        self._joined_s: float | None = None
        self._renew_s = float("-inf")
        self._expires_s = float("inf")
        self._written_s = float("-inf")

    async def run(self) -> None:
        """Keep the registration until cancelled."""
        retry_s = RETRY_MIN_S
        while True:
            await self._wait_until_due()
            try:
                await self.register()
                retry_s = RETRY_MIN_S
            except StoreUnavailable as exc:
                logger.info("registration of this gateway failed: %s", exc)
                self._renew_s = float("-inf")
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_MAX_S, 2 * retry_s)

    async def _wait_until_due(self) -> None:
        """Wait for the first list, and then until the row is missing or has to be renewed."""
        while not self._is_due():
            self._sink.updated.clear()
            left_s = self._renew_s - self._boot_clock() if self._sink.has_full_list else None
            try:
                async with asyncio.timeout(left_s):
                    await self._sink.updated.wait()
            except TimeoutError:
                continue

    def _is_due(self) -> bool:
        if not self._sink.has_full_list:
            return False
        return self._sink.own is None or self._boot_clock() >= self._renew_s

    async def register(self) -> None:
        """Write or renew the registration; raise StoreUnavailable."""
        now = self._boot_clock()
        interval_s = max(MIN_RENEWAL_INTERVAL_S, RENEWAL_INTERVAL_PER_GATEWAY_S * self._fleet.size)
        if now >= self._expires_s:
            # The other gateways no longer count this one.
            self._fleet.leave()
            self._joined_s = None
        is_first = self._joined_s is None
        known_before = self._adopt(now)
        joined_s = now if self._joined_s is None else self._joined_s
        expires_s = now + LEASE_INTERVALS * interval_s
        zero_s = self._sink.store_zero_s
        row = MemberRow(
            joined_ms=(joined_s - zero_s) * 1000,
            expires_ms=(expires_s - zero_s) * 1000,
            limits=[_encode_news(news) for news in self._limits.own_news()],
        )
        # News that arrive during the write are due after it.
        self._written_s, self._renew_s = now, now + interval_s
        version = await self._write(msgspec.json.encode(row))
        self._sink.record_own(row, version)
        self._joined_s, self._expires_s = joined_s, expires_s
        self._fleet.join(self._boot_clock(), expires_s, known_before=known_before)
        if is_first:
            # Does not wait for the next call for changes.
            self._sink.replace(await self._store.read_all(FLEET_TABLE))
        logger.info(
            "registered",
            extra={
                "gateways": self._fleet.size,
                "known": known_before,
                "limits": len(row.limits),
            },
        )

    def _schedule_news(self) -> None:
        """Write the row soon, for a request limit that changed."""
        self._renew_s = min(self._renew_s, self._written_s + NEWS_INTERVAL_S)
        self._sink.updated.set()

    def _adopt(self, now: float) -> bool:
        """Take over the registration of an earlier process of this machine.

        Returns whether all other gateways know it: it was written long enough ago and is valid.
        """
        row = self._sink.own
        if row is None or self._joined_s is not None:
            return False
        joined_s = self._sink.store_zero_s + row.joined_ms / 1000
        expires_s = self._sink.store_zero_s + row.expires_ms / 1000
        if expires_s <= now or joined_s > now:
            return False
        self._joined_s = joined_s
        return joined_s + LATE_WRITE_S + self._fleet.outdated_s <= now

    async def _write(self, content: bytes) -> int:
        """Write this gateway's row, whoever wrote it last; return its version."""
        try:
            return await self._store.put_row(
                FLEET_TABLE, self._name, content, self._sink.own_version
            )
        except WriteConflict as exc:
            # An earlier write whose answer was lost, or one of an earlier process.
            return await self._overwrite(content, exc.version)

    async def _overwrite(self, content: bytes, version: int) -> int:
        try:
            return await self._store.put_row(FLEET_TABLE, self._name, content, version)
        except WriteConflict as exc:
            raise StoreUnavailable(str(exc)) from exc


def _encode_news(news: LimitNews) -> LimitRow:
    incarnation = news.incarnation
    return LimitRow(
        incarnation.instance,
        str(incarnation.address),
        incarnation.started_ms,
        news.rate_per_s,
        news.made_s * 1000,
    )


def _decode_news(row: LimitRow) -> LimitNews:
    incarnation = Incarnation(row.instance, Address.parse(row.address), row.started_ms)
    return LimitNews(incarnation, row.rate_per_s, row.made_ms / 1000)


def _decode_member(row: ChangedRow) -> MemberRow:
    """Return a registration; raise BadRecord if it is invalid."""
    try:
        member = msgspec.json.decode(row.content or b"", type=MemberRow)
        for limit in member.limits:
            Address.parse(limit.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise BadRecord(f"gateway {row.key}: {exc}") from exc
    return member
