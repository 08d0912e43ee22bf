"""One write of a batch to the table service."""

from typing import NamedTuple

__all__ = ["TableWrite"]


class TableWrite(NamedTuple):
    """A value to write, None to delete the row, if the row has version `expected`.

    With `expected` 0 the row must not exist.
    """

    table: str
    key: str
    value: dict[str, object] | None
    expected: int
