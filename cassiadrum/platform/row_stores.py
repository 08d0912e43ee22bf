"""Client of the platform's store for the rows of a table and their changes."""

import base64
import binascii
import logging
import time
from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cassiadrum.platform.errors import (
    DECODE_ERRORS,
    AnswerCutOff,
    AnswerTooLarge,
    HistoryGone,
    WriteConflict,
)
from cassiadrum.platform.row_pages import ChangedRow, RowPage, RowVersion, RowWrite
from cassiadrum.platform.store_clients import (
    CONFLICT_STATUS,
    GONE_STATUS,
    MAX_RESPONSE_BYTES,
    StoreClient,
)
from cassiadrum.platform.table_reads import PAGE_ROWS, TableRead
from cassiadrum.protocols import TimeSlice
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["RowStore"]

logger = logging.getLogger(__name__)

Wire = TypeVar("Wire", bound=msgspec.Struct)

# Time for an answer to begin, on top of the wait that the call requests. The store answers within
# milliseconds, but a broken connection may never deliver an answer.
RESPONSE_TIMEOUT_S = 0.8
# Bounds the memory of a table whose pages do not end.
MAX_ROWS = 100_000


class _RowNameWire(msgspec.Struct):
    key: str
    # The tables that are read have rows in the part without a name only; changes list all parts.
    part: str = ""


class _RowWire(_RowNameWire):
    # Content in base64; absent if the row was removed.
    value: str = ""
    ver: int = 0
    removed: bool = False


class _PageWire(msgspec.Struct):
    # Decoded one by one, so that a row that cannot be read costs only itself.
    rows: list[msgspec.Raw]
    # Newest version of the whole store at the time of the answer.
    ver: int
    # The store's monotonic clock.
    now_ms: float
    truncated: bool = False


class _RowKeyWire(msgspec.Struct):
    table: str
    part: str
    key: str


class _ExpectedRowWire(_RowKeyWire):
    # Version that the row must have; 0 if it must not exist.
    ver: int


class _NewRowWire(_RowKeyWire):
    # Content in base64.
    value: str


class _TransactionWire(msgspec.Struct):
    expected_rev: list[_ExpectedRowWire]
    set_keys: list[_NewRowWire]
    remove: list[_RowKeyWire]


class _WrittenWire(msgspec.Struct):
    ver: int


class _ConflictWire(msgspec.Struct):
    rows: list[_RowWire] = []


class RowStore:
    """Client of the store's tables, with a connection for each concurrent call.

    `boot_clock` returns seconds since boot, suspend included; `link_bytes_per_s` is the bandwidth
    of the machine's link, None if it is not known.
    """

    def __init__(
        self,
        address: Address,
        boot_clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        link_bytes_per_s: float | None = None,
    ) -> None:
        self.address = address
        self._client = StoreClient(address, link_bytes_per_s)
        self._boot_clock = boot_clock
        self.era = self._client.era

    @property
    def is_receiving(self) -> bool:
        """Return whether an answer has begun to arrive and is not complete."""
        return self._client.receiving > 0

    async def read_all(self, table: str, read: TableRead | None = None) -> RowPage:
        """Return all rows of a table; raise StoreUnavailable.

        The version is that of the first page, so reading changes from there repeats those made
        while the pages were read. `read` keeps the pages for another try after a failure. Pages
        from before and after a restore of the store are not combined, since they may be
        inconsistent.
        """
        read = TableRead() if read is None else read
        while True:
            page, truncated = await self._read_page(table, read)
            if read.is_before_restore(page, self.era.number):
                read.restart()
                raise StoreUnavailable("the store was restored while a table was read")
            if read.add(page, self.era.number, truncated=truncated):
                return read.page()
            if read.row_count > MAX_ROWS:
                raise StoreUnavailable(f"table {table} has more than {MAX_ROWS} rows")

    async def _read_page(self, table: str, read: TableRead) -> tuple[RowPage, bool]:
        """Return the next page and whether others follow; raise StoreUnavailable."""
        query = f"/-/rows-get?table={table}&part=&limit={read.page_rows}"
        query += f"&from={quote(read.start, safe='')}" if read.start else ""
        try:
            return await self._call(query, RESPONSE_TIMEOUT_S)
        except AnswerCutOff:
            read.record_cut_off()
            raise

    async def read_changes(
        self, table: str, since: int, wait_s: float, limit_bytes: int = MAX_RESPONSE_BYTES
    ) -> RowPage:
        """Return the rows that changed after a version, waiting up to `wait_s` for a change.

        Raises HistoryGone if the store no longer keeps the changes since that version, or if they
        have more than `limit_bytes`, and StoreUnavailable if no valid answer arrives in time.
        """
        query = f"/-/rows-feed?table={table}&since_rev={since}&wait_ms={int(wait_s * 1000)}"
        try:
            page, _ = await self._call(query, wait_s + RESPONSE_TIMEOUT_S, limit_bytes)
        except AnswerTooLarge as exc:
            raise HistoryGone(str(exc)) from exc
        return page

    async def read_range(
        self, table: str, first: str, end: str = "", limit: int = PAGE_ROWS
    ) -> tuple[RowPage, bool]:
        """Return rows with keys from `first` to before `end`, and whether there are others.

        An empty `end` sets no end. Raises StoreUnavailable.
        """
        query = f"/-/rows-get?table={table}&part=&limit={limit}&from={quote(first, safe='')}"
        query += f"&to={quote(end, safe='')}" if end else ""
        return await self._call(query, RESPONSE_TIMEOUT_S)

    async def put_row(
        self,
        table: str,
        key: str,
        content: bytes,
        expected_version: int,
        removed: Sequence[RowVersion] = (),
    ) -> int:
        """Write a row that has the expected version, 0 for none, and return its new version.

        The same transaction removes other rows of the table that have the versions given. Raises
        WriteConflict and StoreUnavailable like `write_rows`.
        """
        removals = (RowWrite(row.key, None, row.version) for row in removed)
        return await self.write_rows(table, [RowWrite(key, content, expected_version), *removals])

    async def write_rows(self, table: str, writes: Sequence[RowWrite]) -> int:
        """Write or remove rows in one transaction and return the new version.

        Raises WriteConflict if any row has another version than expected, and StoreUnavailable if
        the outcome is unknown.
        """
        call = _TransactionWire(
            [
                _ExpectedRowWire(table, "", row.key, row.expected_version)
                for row in writes
                if row.expected_version is not None
            ],
            [
                _NewRowWire(table, "", row.key, base64.b64encode(row.content).decode())
                for row in writes
                if row.content is not None
            ],
            [_RowKeyWire(table, "", row.key) for row in writes if row.content is None],
        )
        response, body = await self._client.exchange(
            "POST", "/-/rows-tx", RESPONSE_TIMEOUT_S, msgspec.json.encode(call)
        )
        if response.status == CONFLICT_STATUS:
            rows = _decode(body, _ConflictWire).rows
            found = (ChangedRow(row.key, _decode_content(row), row.ver) for row in rows)
            raise WriteConflict({row.key: row for row in found if row.content is not None})
        return _decode(body, _WrittenWire).ver

    def close(self) -> None:
        """Close the idle connection."""
        self._client.close()

    async def _call(
        self, target: str, timeout_s: float, limit_bytes: int = MAX_RESPONSE_BYTES
    ) -> tuple[RowPage, bool]:
        sent_s = self._boot_clock()
        response, body = await self._client.exchange(
            "GET", target, timeout_s, limit_bytes=limit_bytes
        )
        if response.status == GONE_STATUS:
            raise HistoryGone(target)
        wire = _decode(body, _PageWire)
        received_s = self._boot_clock()
        rows = await _decode_rows(wire.rows)
        page = RowPage(rows, wire.ver, wire.now_ms / 1000, sent_s, received_s)
        return page, wire.truncated


def _decode(body: bytes, kind: type[Wire]) -> Wire:
    """Return the decoded body; raise StoreUnavailable if it is invalid."""
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as exc:
        raise StoreUnavailable(f"invalid answer: {exc}") from exc


async def _decode_rows(rows: list[msgspec.Raw]) -> tuple[ChangedRow, ...]:
    time_slice = TimeSlice()
    decoded = []
    for raw in rows:
        await time_slice.checkpoint()
        row = _decode_row(raw)
        if row is not None:
            decoded.append(row)
    return tuple(decoded)


def _decode_row(raw: msgspec.Raw) -> ChangedRow | None:
    """Return a row with the content as far as it can be read.

    Returns None for a row of another part, and for one whose key cannot be read.
    """
    try:
        row = msgspec.json.decode(raw, type=_RowWire)
    except DECODE_ERRORS as exc:
        logger.warning("invalid row of the store: %s", exc)
        return _unreadable_row(raw)
    if row.part:
        return None
    return ChangedRow(row.key, _decode_content(row), row.ver)


def _unreadable_row(raw: msgspec.Raw) -> ChangedRow | None:
    try:
        name = msgspec.json.decode(raw, type=_RowNameWire)
    except DECODE_ERRORS:
        return None
    return None if name.part else ChangedRow(name.key, b"", 0)


def _decode_content(row: _RowWire) -> bytes | None:
    if row.removed:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        return b""
