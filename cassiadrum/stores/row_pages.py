"""A page of listed rows."""

from typing import NamedTuple

from cassiadrum.stores.rows import Row

__all__ = ["RowPage"]


class RowPage(NamedTuple):
    """Rows in key order.

    `next_after` is the `after` argument for the next page, empty on the last page.
    """

    rows: tuple[Row, ...]
    next_after: str = ""
