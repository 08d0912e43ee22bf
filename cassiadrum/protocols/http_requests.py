"""An HTTP request that a server received."""

from typing import NamedTuple

__all__ = ["Headers", "HttpRequest"]

Headers = tuple[tuple[str, str], ...]


class HttpRequest(NamedTuple):
    """One complete request; header names are lower case, `target` is path and query."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Return the query without the question mark, empty when absent."""
        return self.target.partition("?")[2]

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), default)
