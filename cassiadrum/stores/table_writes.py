"""One write of a batch to the table service."""

from typing import NamedTuple

__all__ = ["TableWrite"]


class TableWrite(NamedTuple):
    """Write a value, or delete the row if it is None, if the row has version `expected`.

    With `expected` 0 the row must not exist.
    """

    table: str
    key: str
    value: dict[str, object] | None
    expected: int
