"""Rows of a table as the store returns them."""

from typing import NamedTuple

__all__ = ["ChangedRow", "RowPage", "RowVersion", "RowWrite"]


class ChangedRow(NamedTuple):
    """The content of a row at a version, None if the row was removed.

    Content that is not valid base64 is empty, which no decoder accepts.
    """

    key: str
    content: bytes | None
    version: int


class RowVersion(NamedTuple):
    """The key of a row and the version that it has, 0 if it does not exist."""

    key: str
    version: int


class RowWrite(NamedTuple):
    """The new content of a row, None to remove it.

    The write needs the row to have the expected version, 0 for none; with None it may have any.
    """

    key: str
    content: bytes | None
    expected_version: int | None = None


class RowPage(NamedTuple):
    """The rows of an answer and the store's version.

    Times are in seconds: `store_s` on the store's clock, the others on this machine's boot clock.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    store_s: float
    sent_s: float
    received_s: float
