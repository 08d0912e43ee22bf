"""One write of a batch."""

from typing import NamedTuple

__all__ = ["TableWrite"]


class TableWrite(NamedTuple):
    """Put a value, or delete when it is None, if the row has the version `expected`.

    `expected` 0 means that the row must not exist.
    """

    table: str
    key: str
    value: dict[str, object] | None
    expected: int
