"""Client of the platform's store: the rows of a table and their changes."""

import asyncio
import base64
import binascii
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from cassiadrum.platform.errors import HistoryGone
from cassiadrum.platform.headers import Header
from cassiadrum.platform.store_eras import StoreEra
from cassiadrum.protocols import BadMessage, HttpClient, HttpError, HttpResponse
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["ChangedRow", "RowPage", "RowStore"]

# Time for an answer beyond the wait that the call itself asks for; the store answers in
# milliseconds, and a connection can fall silent for good.
RESPONSE_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
PAGE_ROWS = 500
# A page of rows is far smaller; what does not end must not take the process's memory.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
GONE_STATUS = 410


class _RowWire(msgspec.Struct):
    key: str
    # The content in base64; absent where the row was dropped.
    value: str = ""
    ver: int = 0
    removed: bool = False


class _PageWire(msgspec.Struct):
    rows: list[_RowWire]
    # The newest version of the whole store at the time of the answer.
    ver: int
    # The store's steady clock.
    now_ms: float
    truncated: bool = False


class ChangedRow(NamedTuple):
    """Hold the content of a row at a version, None where the row was removed or is unreadable."""

    key: str
    content: bytes | None
    version: int


class RowPage(NamedTuple):
    """Hold rows as of one moment; the times are in seconds, `store_s` on the store's clock."""

    rows: tuple[ChangedRow, ...]
    version: int
    store_s: float
    sent_s: float
    received_s: float


class RowStore:
    """Read tables over one connection for each caller; `boot_clock` returns boot-time seconds."""

    def __init__(
        self,
        address: Address,
        boot_clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
    ) -> None:
        self._client = HttpClient(address.host, address.port, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._boot_clock = boot_clock
        self.era = StoreEra()

    async def read_all(self, table: str) -> RowPage:
        """Return all rows of a table; raise StoreUnavailable.

        The version is that of the first page, so that following it repeats what changed meanwhile.
        Pages from before and after a restore of the store do not make up a table.
        """
        first: RowPage | None = None
        era: int | None = None
        rows: dict[str, ChangedRow] = {}
        start = ""
        while True:
            query = f"/-/rows-get?table={table}&part=&limit={PAGE_ROWS}"
            query += f"&from={start}" if start else ""
            page, truncated = await self._call(query, RESPONSE_TIMEOUT_S)
            if first is None:
                first, era = page, self.era.number
            elif self.era.number != era:
                raise StoreUnavailable("the store was restored between two pages")
            rows.update((row.key, row) for row in page.rows)
            if not truncated or not page.rows or page.rows[-1].key == start:
                return first._replace(rows=tuple(rows.values()))
            start = page.rows[-1].key

    async def read_changes(self, table: str, since: int, wait_s: float) -> RowPage:
        """Return the rows that changed after a version, at the latest after `wait_s` seconds.

        Raises HistoryGone, and StoreUnavailable when no valid answer came in time.
        """
        query = f"/-/rows-feed?table={table}&since_rev={since}&wait_ms={int(wait_s * 1000)}"
        page, _ = await self._call(query, wait_s + RESPONSE_TIMEOUT_S)
        return page

    def close(self) -> None:
        """Close the idle connection."""
        self._client.close()

    async def _call(self, target: str, timeout_s: float) -> tuple[RowPage, bool]:
        sent_s = self._boot_clock()
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.request("GET", target)
                body = await _read_body(response)
        except (HttpError, TimeoutError) as exc:
            self._client.close()
            raise StoreUnavailable(str(exc) or f"no answer in {timeout_s:g} s") from exc
        self._check_era(response)
        if response.status == GONE_STATUS:
            raise HistoryGone(target)
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        try:
            wire = msgspec.json.decode(body, type=_PageWire)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise StoreUnavailable(f"unreadable answer: {exc}") from exc
        rows = tuple(ChangedRow(row.key, _decode_content(row), row.ver) for row in wire.rows)
        page = RowPage(rows, wire.ver, wire.now_ms / 1000, sent_s, self._boot_clock())
        return page, wire.truncated

    def _check_era(self, response: HttpResponse) -> None:
        """Learn the era from any answer; raise StoreUnavailable for an answer of an older one."""
        if not self.era.observe(response.header(Header.STORE_ERA)):
            # What else arrives on its connection may be as old.
            self._client.close()
            raise StoreUnavailable("an answer from before the store was restored")


async def _read_body(response: HttpResponse) -> bytes:
    """Return the body; raise BadMessage for one that does not end within the bound."""
    parts: list[bytes] = []
    size = 0
    async for part in response.body:
        parts.append(part)
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise BadMessage(502, f"an answer over {MAX_RESPONSE_BYTES} bytes")
    return b"".join(parts)


def _decode_content(row: _RowWire) -> bytes | None:
    if row.removed:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        return b""
