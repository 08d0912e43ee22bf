"""Rows of the store that tell where streams began."""

from typing import Annotated, Final

import msgspec

from cassiadrum.gateways import StreamOrigin, UnrecordedStreams
from cassiadrum.platform.errors import DECODE_ERRORS, BadRecord
from cassiadrum.platform.row_pages import ChangedRow

__all__ = [
    "RECORD_TABLE",
    "UNRECORDED_TABLE",
    "OriginRow",
    "UnrecordedRow",
    "decode_origin",
    "decode_unrecorded",
]

# Records of single streams by key, and the state of the streams without one by service.
RECORD_TABLE: Final = "streams"
UNRECORDED_TABLE: Final = "unrecorded"

Text = Annotated[str, msgspec.Meta(max_length=200)]


class OriginRow(msgspec.Struct):
    """Where a stream began; `made_ms` is the time of the record on the store's clock."""

    service: Text
    version: Text
    made_ms: float

    @property
    def origin(self) -> StreamOrigin:
        """Return where the stream began."""
        return StreamOrigin(self.service, self.version)


class UnrecordedRow(msgspec.Struct):
    """Where the streams of a service without a record began, in the era of the store `era`."""

    version: Text
    # Time on the store's clock.
    closed_ms: float | None
    era: int | None

    @classmethod
    def from_state(cls, state: UnrecordedStreams, era: int | None) -> "UnrecordedRow":
        """Return the row of a state."""
        closed_ms = None if state.closed_s is None else state.closed_s * 1000
        return cls(state.version, closed_ms, era)

    @property
    def state(self) -> UnrecordedStreams:
        """Return the state in the row."""
        return UnrecordedStreams(
            self.version, None if self.closed_ms is None else self.closed_ms / 1000
        )


def decode_origin(row: ChangedRow) -> OriginRow:
    """Return a record; raise BadRecord if it cannot be read."""
    try:
        return msgspec.json.decode(row.content or b"", type=OriginRow)
    except DECODE_ERRORS as exc:
        raise BadRecord(f"record of a stream {row.key}: {exc}") from exc


def decode_unrecorded(row: ChangedRow) -> UnrecordedRow:
    """Return the state of the streams without a record; raise BadRecord if it cannot be read."""
    try:
        return msgspec.json.decode(row.content or b"", type=UnrecordedRow)
    except DECODE_ERRORS as exc:
        raise BadRecord(f"streams without a record of {row.key}: {exc}") from exc
