"""Registration of a gateway in the store."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from cassiadrum.gateways import Fleet
from cassiadrum.platform.errors import WriteConflict
from cassiadrum.platform.fleet_news import FleetNews, NewsTiming
from cassiadrum.platform.fleet_sinks import FLEET_TABLE, FleetSink
from cassiadrum.platform.member_rows import MemberRow
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["RESTART_S", "FleetRegistration"]

logger = logging.getLogger(__name__)

# Renewals of all gateways together: each write makes all gateways read the changed tables.
RENEWAL_INTERVAL_PER_GATEWAY_S: Final = 20.0
MIN_RENEWAL_INTERVAL_S: Final = 60.0
# A registration outlasts one renewal that fails.
LEASE_INTERVALS: Final = 2.5
# Time for which a write whose answer was lost may still be carried out by the store.
LATE_WRITE_S: Final = 10.0
RETRY_MIN_S: Final = 0.2
RETRY_MAX_S: Final = 30.0
# Time after the end of a planned stop within which a process that starts again finds its row.
RESTART_S: Final = 60.0


class FleetRegistration:
    """This gateway's registration in the store, which is renewed while it runs.

    The registration outlasts a stop for some time: most stops are restarts, and a process that
    finds the registration of an earlier one is known to all other gateways at once.
    """

    def __init__(
        self,
        store: RowStore,
        fleet: Fleet,
        news: Sequence[FleetNews],
        sink: FleetSink,
        name: str,
        boot_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._fleet = fleet
        self._news = news
        for channel in news:
            channel.on_news = self._schedule_news
        self._sink = sink
        self._name = name
        self._boot_clock = boot_clock
        self._joined_s: float | None = None
        self._renew_s = float("-inf")
        self._expires_s = float("inf")
        self._written_s = float("-inf")
        # Grace time of a planned stop, None while the gateway runs.
        self._stop_grace_s: float | None = None

    def expire_after(self, grace_s: float) -> None:
        """Let the registration expire soon, for a planned stop with a grace time in seconds.

        If the machine is gone for good, the others get its share without waiting for the end of
        the whole registration.
        """
        self._stop_grace_s = grace_s
        self._renew_s = float("-inf")
        self._sink.updated.set()

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
                await self._pause(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_MAX_S, 2 * retry_s)

    async def _pause(self, longest_s: float) -> None:
        """Wait before the next try, at most until the store is back after an outage."""
        self._sink.store_is_back.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._sink.store_is_back.wait()
                # All gateways notice the return at the same time.
                await asyncio.sleep(random.uniform(0.0, RETRY_MIN_S))

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
        interval_s, lease_s = self._times_s()
        if not self._fleet.can_renew(self._expires_s - LATE_WRITE_S):
            self._fleet.leave()
            self._joined_s = None
        is_first = self._joined_s is None
        known_before = self._adopt(now)
        joined_s = now if self._joined_s is None else self._joined_s
        expires_s = now + lease_s
        zero_s = self._sink.store_zero_s
        row = MemberRow(
            joined_ms=(joined_s - zero_s) * 1000,
            expires_ms=(expires_s - zero_s) * 1000,
        )
        for channel in self._news:
            channel.encode(row, zero_s)
        # News that arrive during the write are due after it.
        self._written_s, self._renew_s = now, now + interval_s
        version = await self._write(msgspec.json.encode(row), now)
        self._sink.record_own(row, version)
        self._joined_s, self._expires_s = joined_s, expires_s
        self._fleet.join(self._boot_clock(), expires_s, known_before=known_before)
        if is_first:
            # Does not wait for the next call for changes.
            await self._sink.replace(await self._store.read_all(FLEET_TABLE))
        logger.info(
            "registered",
            extra={
                "gateways": self._fleet.size,
                "known": known_before,
                "limits": len(row.limits),
                "crashes": len(row.crashes),
            },
        )

    def _times_s(self) -> tuple[float, float]:
        """Return the time until the next renewal, and the time for which the row is valid."""
        if self._stop_grace_s is not None:
            return float("inf"), self._stop_grace_s + RESTART_S
        interval_s = max(MIN_RENEWAL_INTERVAL_S, RENEWAL_INTERVAL_PER_GATEWAY_S * self._fleet.size)
        return interval_s, LEASE_INTERVALS * interval_s

    def _schedule_news(self, timing: NewsTiming) -> None:
        """Write the row soon, for something that the others should know."""
        now = self._boot_clock()
        due_s = max(self._written_s + timing.interval_s, now + timing.delay_s)
        self._renew_s = min(self._renew_s, due_s)
        self._sink.updated.set()

    def _adopt(self, now: float) -> bool:
        """Take over the registration of an earlier process of this machine.

        Returns whether all other gateways know it: it was written long enough ago and is valid.
        """
        row = self._sink.own
        if row is None or self._joined_s is not None:
            return False
        registered = self._adopt_registration(row, now)
        for channel in self._news:
            channel.adopt(row, self._sink.store_zero_s, registered=registered)
        if not registered or self._joined_s is None:
            return False
        return self._joined_s + LATE_WRITE_S + self._fleet.outdated_s <= now

    def _adopt_registration(self, row: MemberRow, now: float) -> bool:
        """Take over a registration that is still valid; return whether it is."""
        joined_s = self._sink.store_zero_s + row.joined_ms / 1000
        expires_s = self._sink.store_zero_s + row.expires_ms / 1000
        if not self._fleet.can_renew(expires_s - LATE_WRITE_S) or joined_s > now:
            return False
        self._joined_s = joined_s
        return True

    async def _write(self, content: bytes, now: float) -> int:
        """Write this gateway's row, whoever wrote it last; return its version.

        The first write of a process, which has just read all rows, removes those of gateways that
        are gone.
        """
        expired = self._sink.long_expired(now) if self._joined_s is None else []
        version = self._sink.own_version
        try:
            return await self._store.put_row(FLEET_TABLE, self._name, content, version, expired)
        except WriteConflict as exc:
            # An earlier write whose answer was lost, one of an earlier process, or a row that
            # another gateway has removed.
            return await self._overwrite(content, exc.version(self._name))

    async def _overwrite(self, content: bytes, version: int) -> int:
        try:
            return await self._store.put_row(FLEET_TABLE, self._name, content, version)
        except WriteConflict as exc:
            raise StoreUnavailable(str(exc)) from exc
