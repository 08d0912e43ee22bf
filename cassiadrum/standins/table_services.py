"""Stand-in for the transactional table service of the platform."""

from urllib.parse import parse_qs, unquote

import msgspec

from cassiadrum.protocols import HttpRequest
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.standins import StandIn
from cassiadrum.standins.table_rows import TableRows
from cassiadrum.stores import LIST_ROWS, Conflict, Done, TableWrite, WriteResult

__all__ = ["TableService"]

NOT_FOUND = Answer.from_object(404, {"error": "not found"})


class TableService(StandIn):
    """Stand-in of rows with compare-and-set writes, listings by prefix and atomic batches."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = TableRows()

    def answer(self, req: HttpRequest) -> Answer:
        """Apply a request for a row, a listing or a batch of writes."""
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        try:
            if parts == ["batch"] and req.method == "POST":
                return self._write_batch(req)
            if len(parts) == 3 and parts[::2] == ["tables", "rows"] and req.method == "GET":
                return self._list_rows(parts[1], req)
            if len(parts) == 4 and parts[::2] == ["tables", "rows"]:
                return self._handle_row(parts[1], parts[3], req)
        except (msgspec.MsgspecError, ValueError) as exc:
            return Answer.from_object(400, {"error": str(exc)})
        return NOT_FOUND

    def _handle_row(self, table: str, key: str, req: HttpRequest) -> Answer:
        if req.method == "GET":
            row = self.rows.get(table, key)
            return Answer.from_object(200, row._asdict()) if row else NOT_FOUND
        if req.method not in ("PUT", "DELETE"):
            return Answer.from_object(405, {"error": "method must be GET, PUT or DELETE"})
        expected = _expected_version(req)
        if expected is None:
            return Answer.from_object(428, {"error": "If-Match or If-None-Match is required"})
        value = None
        if req.method == "PUT":
            value = msgspec.json.decode(req.body, type=dict[str, object])
        return _write_answer(self.rows.write([TableWrite(table, key, value, expected)]))

    def _list_rows(self, table: str, req: HttpRequest) -> Answer:
        query = {name: values[0] for name, values in parse_qs(req.query).items()}
        limit = int(query.get("limit", LIST_ROWS))
        if not 0 < limit <= LIST_ROWS:
            raise ValueError(f"limit: found {limit}; allowed: 1 to {LIST_ROWS}")
        fields = tuple(filter(None, query.get("fields", "").split(",")))
        prefix, after = query.get("prefix", ""), query.get("after", "")
        page = self.rows.list(table, prefix, limit=limit, after=after, fields=fields)
        rows = [row._asdict() for row in page.rows]
        return Answer.from_object(200, {"rows": rows, "next_after": page.next_after})

    def _write_batch(self, req: HttpRequest) -> Answer:
        raw = msgspec.json.decode(req.body, type=dict[str, list[dict[str, object]]])
        ordered = [[item[field] for field in TableWrite._fields] for item in raw["writes"]]
        return _write_answer(self.rows.write(msgspec.convert(ordered, list[TableWrite])))


def _expected_version(req: HttpRequest) -> int | None:
    """Return the version that the row must have, 0 for no row, None without a condition."""
    if req.header("if-none-match") == "*":
        return 0
    match = req.header("if-match").strip('"')
    return int(match) if match else None


def _write_answer(result: WriteResult) -> Answer:
    if isinstance(result, Done):
        return Answer.from_object(200, {"versions": result.versions})
    if isinstance(result, Conflict):
        row = result.row._asdict() if result.row else None
        return Answer.from_object(412, {"row": row, "position": result.position})
    return Answer.from_object(400, {"error": result.reason})


if __name__ == "__main__":
    TableService.main()
