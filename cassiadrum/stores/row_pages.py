"""A page of a listing."""

from typing import NamedTuple

from cassiadrum.stores.rows import Row

__all__ = ["RowPage"]


class RowPage(NamedTuple):
    """Hold rows in key order; `next_after` is empty on the last page."""

    rows: tuple[Row, ...]
    next_after: str = ""
