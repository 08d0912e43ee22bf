"""State of a read of all rows of a table, which goes on after a call that failed."""

from cassiadrum.platform.row_pages import ChangedRow, RowPage

__all__ = ["PAGE_ROWS", "TableRead"]

# Most rows that the store returns in a page.
PAGE_ROWS = 500


class TableRead:
    """The pages of a table that have arrived, and where the next page begins.

    The rows are as of the first page or later, so reading the changes since its version completes
    them. After a page that was cut off the next ones are smaller, so that some of them arrive
    whole.
    """

    def __init__(self) -> None:
        # Key from which the next page is read.
        self.start = ""
        self.page_rows = PAGE_ROWS
        self._first: RowPage | None = None
        self._rows: dict[str, ChangedRow] = {}
        # Era of the pages, None if the store states none.
        self._era: int | None = None

    @property
    def row_count(self) -> int:
        """Return the number of rows that have arrived."""
        return len(self._rows)

    def is_before_restore(self, page: RowPage, era: int | None) -> bool:
        """Return whether the pages are from before a restore of the store that made `page`."""
        if self._first is None:
            return False
        return era != self._era or page.version < self._first.version

    def restart(self) -> None:
        """Drop all pages."""
        self.start = ""
        self._first = None
        self._rows.clear()

    def add(self, page: RowPage, era: int | None, *, truncated: bool) -> bool:
        """Add the next page; return whether it is the last one."""
        if self._first is None:
            self._first, self._era = page, era
        self._rows.update((row.key, row) for row in page.rows)
        if not truncated or not page.rows or page.rows[-1].key == self.start:
            # A page whose rows cannot be read gives no key to continue from.
            return True
        self.start = page.rows[-1].key
        self.page_rows = min(PAGE_ROWS, 2 * self.page_rows)
        return False

    def record_cut_off(self) -> None:
        """Let the next page be smaller; it needs a second row to give a key to continue from."""
        self.page_rows = max(2, self.page_rows // 2)

    def page(self) -> RowPage:
        """Return all rows, with the version and the times of the first page."""
        assert self._first is not None
        return self._first._replace(rows=tuple(self._rows.values()))
