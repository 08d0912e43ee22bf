"""A row of the table service."""

from typing import NamedTuple

__all__ = ["Row"]


class Row(NamedTuple):
    """The value of a key and its version, which increases with each write."""

    key: str
    version: int
    value: dict[str, object]
