"""Client of the table service over HTTP."""

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.stores.row_pages import RowPage
from cassiadrum.stores.rows import Row
from cassiadrum.stores.store_transports import StoreResponse, StoreTransport, quote_segment
from cassiadrum.stores.table_stores import LIST_ROWS, TableStore
from cassiadrum.stores.table_writes import TableWrite
from cassiadrum.stores.write_results import Conflict, Done, Refused, Unknown, WriteResult

__all__ = ["HttpTableStore"]


class HttpTableStore(TableStore):
    """Access the platform's table service over HTTP."""

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if there is none; raise StoreUnavailable."""
        answer = await self._transport.read(_target(table, key))
        if answer.status == 404:
            return None
        return _row(_decoded(answer))

    async def list(
        self,
        table: str,
        prefix: str = "",
        *,
        limit: int = LIST_ROWS,
        after: str = "",
        fields: Sequence[str] = (),
    ) -> RowPage:
        """Return rows by key prefix, with only the named fields; raise StoreUnavailable.

        An empty `fields` returns all fields.
        """
        query = {"prefix": prefix, "limit": limit, "after": after, "fields": ",".join(fields)}
        target = f"/tables/{quote_segment(table)}/rows?{urlencode(query)}"
        raw = _decoded(await self._transport.read(target))
        try:
            rows = tuple(_row(item) for item in msgspec.convert(raw["rows"], list[object]))
            return RowPage(rows, msgspec.convert(raw["next_after"], str))
        except (msgspec.MsgspecError, KeyError) as exc:
            raise StoreUnavailable(f"invalid answer: {exc}") from exc

    async def write(self, writes: Sequence[TableWrite]) -> WriteResult:
        """Apply up to BATCH_WRITES writes, all or none."""
        if len(writes) == 1:
            answer = await self._write_one(writes[0])
        else:
            body = msgspec.json.encode({"writes": [write._asdict() for write in writes]})
            answer = await self._transport.write("POST", "/batch", (), body)
        return _result(answer) if isinstance(answer, StoreResponse) else answer

    async def _write_one(self, write: TableWrite) -> StoreResponse | Refused | Unknown:
        target = _target(write.table, write.key)
        condition = ("if-match", f'"{write.expected}"')
        if write.expected == 0:
            condition = ("if-none-match", "*")
        if write.value is None:
            return await self._transport.write("DELETE", target, (condition,))
        body = msgspec.json.encode(write.value)
        return await self._transport.write("PUT", target, (condition,), body)


def _target(table: str, key: str) -> str:
    return f"/tables/{quote_segment(table)}/rows/{quote_segment(key)}"


def _decoded(answer: StoreResponse) -> dict[str, object]:
    if answer.status != 200:
        raise StoreUnavailable(f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=dict[str, object])
    except msgspec.MsgspecError as exc:
        raise StoreUnavailable(f"invalid answer: {exc}") from exc


def _row(raw: object) -> Row:
    try:
        fields = msgspec.convert(raw, dict[str, object])
        return msgspec.convert([fields[name] for name in Row._fields], Row)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise StoreUnavailable(f"invalid row: {exc}") from exc


def _result(answer: StoreResponse) -> WriteResult:
    """Return the result of a write; an invalid answer leaves it unknown."""
    if answer.status not in (200, 412):
        return Refused(f"status {answer.status}: {answer.body[:200].decode(errors='replace')}")
    try:
        raw = msgspec.json.decode(answer.body, type=dict[str, object])
        if answer.status == 200:
            return Done(msgspec.convert(raw["versions"], tuple[int, ...]))
        row = None if raw["row"] is None else _row(raw["row"])
        return Conflict(row, msgspec.convert(raw["position"], int))
    except (msgspec.MsgspecError, KeyError, StoreUnavailable) as exc:
        return Unknown(f"invalid answer: {exc}")
