"""A stand-in for the platform's store that serves rows and their changes, with faults."""

import asyncio
import base64
import copy
import json
import time
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from cassiadrum.protocols import Exchange, HttpServer

__all__ = ["RowService", "StoreFault", "StoreSnapshot"]

TRANSACTION_PATH = "/-/rows-tx"
PAGE_ROWS = 500
# Rows that a transaction may expect, write and remove, added up.
MAX_ENTRIES = 100


class StoreFault(Enum):
    """Fault with which the store replies to every call."""

    NONE = "none"
    BUSY = "busy"
    RATE_LIMITED = "rate_limited"
    RESET = "reset"
    SILENT = "silent"


class StoreSnapshot(NamedTuple):
    """The state of the store at one time."""

    rows: dict[tuple[str, str, str], dict[str, Any]]
    history: list[dict[str, Any]]
    oldest: int
    version: int


class RowService:
    """A store of rows; `fault` replaces its answers, and `slow_s` delays them by seconds.

    `era` is stated in each answer and increases by one with each restore; if None, answers state
    no era. With `refuse_writes`, transactions get 503.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.slow_s = 0.0
        self.refuse_writes = False
        self.calls = 0
        # Transactions, refused ones included.
        self.writes = 0
        self.era: int | None = 1
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        # All changes in order; removals are marked with `removed`.
        self._history: list[dict[str, Any]] = []
        self._oldest = 0
        self._version = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        await self._server.abort()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row, as the operator or an endpoint does, and return its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._apply([self._row(table, "", key, base64.b64encode(data).decode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row and return the version of the change."""
        return self._apply([{"table": table, "part": "", "key": key, "removed": True}])

    def snapshot(self) -> StoreSnapshot:
        """Return a copy of the state for a later `restore`."""
        return copy.deepcopy(StoreSnapshot(self._rows, self._history, self._oldest, self._version))

    def restore(self, saved: StoreSnapshot) -> None:
        """Replace the state by a snapshot; later writes are lost."""
        self._rows, self._history, self._oldest, self._version = copy.deepcopy(saved)
        if self.era is not None:
            self.era += 1
        self._changed.set()

    def drop_history(self) -> None:
        """Drop the history of changes, so that followers must read all rows."""
        self._oldest = self._version
        self._history.clear()

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table in key order."""
        found = [row for (name, _, _), row in self._rows.items() if name == table]
        return sorted(found, key=lambda row: str(row["key"]))

    async def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        self.writes += exchange.req.path == TRANSACTION_PATH
        if self.fault is StoreFault.SILENT:
            await exchange.disconnected.wait()
        elif self.fault is StoreFault.RESET:
            exchange.abort()
        elif self.fault is StoreFault.BUSY:
            await self._send(exchange, 503, {})
        elif self.fault is StoreFault.RATE_LIMITED:
            await self._send(exchange, 429, {})
        else:
            await asyncio.sleep(self.slow_s)
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        query = {name: values[0] for name, values in parse_qs(exchange.req.query).items()}
        path = exchange.req.path
        if path == "/-/rows-get":
            await self._send(exchange, 200, self._get(query))
        elif path == "/-/rows-feed":
            await self._feed(exchange, query)
        elif path == TRANSACTION_PATH and self.refuse_writes:
            await self._send(exchange, 503, {})
        elif path == TRANSACTION_PATH:
            await self._send(exchange, *self._transact(json.loads(exchange.req.body)))
        else:
            await self._send(exchange, 404, {})

    async def _send(self, exchange: Exchange, status: int, answer: dict[str, Any]) -> None:
        era = () if self.era is None else (("store-era", str(self.era)),)
        await exchange.send_json(status, answer, era)

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        start, end = query.get("from", ""), query.get("to")
        rows = [
            row
            for row in self.rows(query["table"])
            if row["part"] == query.get("part", "")
            and row["key"] >= start
            and (end is None or row["key"] < end)
        ]
        return self._stamped({"rows": rows[:limit], "truncated": len(rows) > limit})

    async def _feed(self, exchange: Exchange, query: dict[str, str]) -> None:
        since = int(query["since_rev"])
        deadline_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while self._oldest <= since <= self._version:
            rows = [
                row
                for row in self._history
                if row["table"] == query["table"] and row["ver"] > since
            ]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0.0:
                await self._send(exchange, 200, self._stamped({"rows": rows}))
                return
            self._changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        await self._send(exchange, 410, {})

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = call.get("expected_rev", [])
        entries = [call.get(name, []) for name in ("expected_rev", "set_keys", "remove")]
        if sum(map(len, entries)) > MAX_ENTRIES:
            return 400, {}
        keys = [(row["table"], row.get("part", ""), row["key"]) for row in expected]
        current = [self._rows.get(key) for key in keys]
        if any(
            (found["ver"] if found else 0) != row["ver"]
            for found, row in zip(current, expected, strict=True)
        ):
            return 412, self._stamped({"rows": [row for row in current if row]})
        changes = [
            self._row(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in call.get("set_keys", [])
        ]
        changes += [
            {
                "table": row["table"],
                "part": row.get("part", ""),
                "key": row["key"],
                "removed": True,
            }
            for row in call.get("remove", [])
        ]
        self._apply(changes)
        return 200, self._stamped({})

    def _apply(self, changes: list[dict[str, Any]]) -> int:
        self._version += 1
        for row in changes:
            row["ver"] = self._version
            key = (row["table"], row["part"], row["key"])
            if row.get("removed"):
                self._rows.pop(key, None)
            else:
                self._rows[key] = row
            self._history.append(row)
        self._changed.set()
        return self._version

    def _stamped(self, answer: dict[str, Any]) -> dict[str, Any]:
        return {**answer, "ver": self._version, "now_ms": time.monotonic() * 1000}

    @staticmethod
    def _row(table: str, part: str, key: str, value: str) -> dict[str, Any]:
        return {"table": table, "part": part, "key": key, "value": value}
