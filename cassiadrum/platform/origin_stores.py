"""The origins of streams in the platform's store."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from cassiadrum.gateways import (
    EndpointEntry,
    FleetShares,
    FoundOrigin,
    OriginSource,
    OriginStore,
    StreamOrigin,
    UnrecordedStreams,
    next_unrecorded,
)
from cassiadrum.gateways.unrecorded_streams import LEASE_S, STREAM_LIFETIME_S
from cassiadrum.platform.errors import BadRecord, WriteConflict
from cassiadrum.platform.origin_rows import (
    RECORD_TABLE,
    UNRECORDED_TABLE,
    UnrecordedRow,
    decode_origin,
    decode_unrecorded,
)
from cassiadrum.platform.origin_writers import MAX_REMOVED_ROWS, OriginWriter
from cassiadrum.platform.row_pages import ChangedRow, RowPage, RowWrite
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["RowOriginStore"]

logger = logging.getLogger(__name__)

# Interval of the checks whether the state has to be read or changed.
CHECK_INTERVAL_S: Final = 0.5
# The state is read several times within the lease, so that a gateway can miss some reads.
READ_INTERVAL_S: Final = LEASE_S / 3
# Gateways change a state one after another, so that most of them find it changed.
CHANGE_STEP_S: Final = 0.05
MAX_CHANGE_DELAY_S: Final = 2.0
# Time for which a record is kept; writes may be carried out late.
RECORD_KEPT_S: Final = STREAM_LIFETIME_S + 30.0
# Interval in which one gateway removes the records that others left behind.
CLEAN_INTERVAL_S: Final = 300.0
CLEANED_PAGE_ROWS: Final = 200
# Follows every key with the same beginning.
KEY_END: Final = "~"


class RowOriginStore(OriginStore):
    """The records of streams, and the state of those without one, in tables of the store.

    The store may be restored from an older copy, in which a record is missing that a gateway has
    relied on. A state counts only in the era of the store in which it was written; in a new era,
    all streams are recorded until those from before it have ended.
    """

    def __init__(
        self,
        registered: Callable[[str], Iterable[EndpointEntry]],
        services: Callable[[], Iterable[str]],
        fleet: FleetShares,
        boot_clock: Callable[[], float],
    ) -> None:
        super().__init__()
        # Returns the registered endpoints of a service, and the services with resumable streams.
        self._registered = registered
        self._services = services
        self._fleet = fleet
        self._boot_clock = boot_clock
        self._writer = OriginWriter(fleet, boot_clock)
        self._store: RowStore | None = None
        # The states by service, the versions of their rows, and the era and time of the read.
        self._states: dict[str, UnrecordedStreams] = {}
        self._versions: dict[str, int] = {}
        # Services whose row is of an older era than the state.
        self._outdated_rows: set[str] = set()
        self._era: int | None = None
        self._read_s = float("-inf")
        self._read_lock = asyncio.Lock()
        self._store_zero_s = 0.0
        # Since when a service's state should change, and its version has no endpoint.
        self._change_since_s: dict[str, float] = {}
        self._absent_since_s: dict[str, float] = {}
        self._cleaned_s = boot_clock()

    @property
    def can_record(self) -> bool:
        """Return whether a record is expected to be written in time."""
        return self._store is not None and self._writer.is_on_time

    @property
    def is_away(self) -> bool:
        """Return whether a record would wait for long."""
        return self._store is None or self._writer.is_away

    def needs_no_record(self, origin: StreamOrigin) -> bool:
        """Return whether the state permits a stream without a record, and is fresh enough."""
        state = self._states.get(origin.service)
        if state is None or not self._is_fresh():
            return False
        return state.permits(origin.version)

    def record(self, key: str, origin: StreamOrigin) -> asyncio.Event:
        """Begin to write a record."""
        return self._writer.record(key, origin)

    def discard(self, key: str) -> None:
        """Give up a record that is not written yet."""
        self._writer.discard(key)

    async def find(self, service: str, key: str) -> FoundOrigin | None:
        """Return where a stream began, None if that cannot be known; raise StoreUnavailable.

        A caller that does not name the stream gets an answer only if no stream has a record.
        """
        store = self._connected()
        if not self._is_fresh():
            await self._read_states(store)
        page, _ = await store.read_range(RECORD_TABLE, key, key + KEY_END, limit=1)
        if page.rows:
            return _decode_found(page.rows[0]) if key else None
        if store.era.number != self._era:
            raise StoreUnavailable("the store was restored while a record was read")
        state = self._states.get(service)
        version = "" if state is None else state.origin_at(page.store_s)
        if not version and self._read_s < page.sent_s:
            # Another gateway may have written the state since it was read.
            await self._read_states(store)
            state = self._states.get(service)
            version = "" if state is None else state.origin_at(page.store_s)
        if not version:
            return None
        return FoundOrigin(StreamOrigin(service, version), OriginSource.NO_RECORD)

    async def run(self, store: RowStore) -> None:
        """Keep the state and write records until cancelled."""
        self._store = store
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_states(store))
            tasks.create_task(self._writer.run(store))

    async def update(self, store: RowStore) -> None:
        """Read and change the states and remove old records, each when due.

        Raises StoreUnavailable.
        """
        if not self._is_fresh() or self._age_s() > READ_INTERVAL_S:
            await self._read_states(store)
        for service in list(self._services()):
            await self._update_state(store, service)
        await self._writer.remove_old(store, RECORD_KEPT_S)
        await self._clean(store)

    async def _keep_states(self, store: RowStore) -> None:
        while True:
            try:
                await self.update(store)
            except StoreUnavailable as exc:
                logger.info("state of the streams without a record not kept: %s", exc)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _connected(self) -> RowStore:
        if self._store is None:
            raise StoreUnavailable("no connection to the store yet")
        return self._store

    def _age_s(self) -> float:
        return self._boot_clock() - self._read_s

    def _is_fresh(self) -> bool:
        """Return whether the states may be relied on."""
        era = None if self._store is None else self._store.era.number
        return self._age_s() <= LEASE_S and era == self._era

    async def _read_states(self, store: RowStore) -> None:
        """Read the states of all services; raise StoreUnavailable."""
        requested_s = self._boot_clock()
        async with self._read_lock:
            if self._read_s >= requested_s:
                return
            era = store.era.number
            page = await store.read_all(UNRECORDED_TABLE)
            if era is not None and store.era.number != era:
                raise StoreUnavailable("the store was restored while states were read")
            self._apply(page, store.era.number)

    def _apply(self, page: RowPage, era: int | None) -> None:
        restored = self._era is not None and era != self._era
        self._store_zero_s = self._writer.store_zero_s = page.received_s - page.store_s
        self._era = era
        self._read_s = page.sent_s
        known = set(self._states)
        self._states.clear()
        self._versions.clear()
        self._outdated_rows.clear()
        for row in page.rows:
            self._versions[row.key] = row.version
            self._states[row.key] = self._decode_state(row, page.store_s)
        if restored:
            # Their rows may have been lost with the streams that began by them.
            for service in known - set(self._states):
                self._states[service] = UnrecordedStreams("", page.store_s)
                self._outdated_rows.add(service)
            logger.warning("store was restored, recording all streams again", extra={"era": era})
            self._writer.write_again()
            self.on_restored()

    def _decode_state(self, row: ChangedRow, store_s: float) -> UnrecordedStreams:
        """Return the state in a row; nothing is known of one that cannot be read or is older."""
        try:
            found = decode_unrecorded(row)
            if found.era == self._era:
                return found.state
        except BadRecord as exc:
            logger.warning("state rejected: %s", exc)
        self._outdated_rows.add(row.key)
        return UnrecordedStreams("", store_s)

    async def _update_state(self, store: RowStore, service: str) -> None:
        """Change the state of a service if it should change; raise StoreUnavailable."""
        now = self._boot_clock()
        wanted = self._next_state(service, now)
        if wanted is None:
            self._change_since_s.pop(service, None)
            return
        since_s = self._change_since_s.setdefault(service, now)
        delay_s = min(MAX_CHANGE_DELAY_S, CHANGE_STEP_S * self._fleet.rank(service))
        if now < since_s + delay_s:
            return
        if self._read_s < since_s + delay_s:
            await self._read_states(store)
            wanted = self._next_state(service, now)
        if wanted is not None:
            await self._write_state(store, service, wanted)

    def _next_state(self, service: str, now: float) -> UnrecordedStreams | None:
        state = self._states.get(service)
        if state is not None and service in self._outdated_rows:
            return state
        entries = list(self._registered(service))
        if state is None or any(entry.version == state.version for entry in entries):
            self._absent_since_s.pop(service, None)
        absent_s = now - self._absent_since_s.setdefault(service, now)
        return next_unrecorded(state, entries, now - self._store_zero_s, absent_s)

    async def _write_state(self, store: RowStore, service: str, state: UnrecordedStreams) -> None:
        """Write the state of a service; if another gateway was first, read its state."""
        content = msgspec.json.encode(UnrecordedRow.from_state(state, self._era))
        era = self._era
        try:
            version = await store.put_row(
                UNRECORDED_TABLE, service, content, self._versions.get(service, 0)
            )
        except WriteConflict:
            await self._read_states(store)
            return
        logger.info(
            "streams without a record",
            extra={"service": service, "software": state.version, "closed_s": state.closed_s},
        )
        if era == self._era:
            self._states[service] = state
            self._versions[service] = version
            self._outdated_rows.discard(service)

    async def _clean(self, store: RowStore) -> None:
        """Remove the records of gateways that are gone, at one gateway; raise StoreUnavailable."""
        now = self._boot_clock()
        if now < self._cleaned_s + CLEAN_INTERVAL_S:
            return
        self._cleaned_s = now
        if self._fleet.rank(RECORD_TABLE) > 0:
            return
        oldest_ms = (now - RECORD_KEPT_S - self._store_zero_s) * 1000
        first, others = "", True
        while others:
            page, others = await store.read_range(RECORD_TABLE, first, limit=CLEANED_PAGE_ROWS)
            old = [row for row in page.rows if _made_ms(row) < oldest_ms]
            for start in range(0, len(old), MAX_REMOVED_ROWS):
                rows = old[start : start + MAX_REMOVED_ROWS]
                await store.write_rows(RECORD_TABLE, [RowWrite(row.key, None) for row in rows])
            if not page.rows:
                return
            first = page.rows[-1].key + " "


def _decode_found(row: ChangedRow) -> FoundOrigin | None:
    """Return the origin in a record, None if it cannot be read."""
    try:
        return FoundOrigin(decode_origin(row).origin, OriginSource.RECORD)
    except BadRecord as exc:
        logger.warning("record rejected: %s", exc)
        return None


def _made_ms(row: ChangedRow) -> float:
    """Return when a record was made; one that cannot be read is as old as can be."""
    try:
        return decode_origin(row).made_ms
    except BadRecord as exc:
        logger.warning("record removed: %s", exc)
        return float("-inf")
