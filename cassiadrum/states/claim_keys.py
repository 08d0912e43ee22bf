"""The key of a once-only call."""

from typing import NamedTuple
from urllib.parse import quote

__all__ = ["ClaimKey"]


class ClaimKey(NamedTuple):
    """Name a call by service, customer and the caller's idempotency key."""

    service: str
    customer: str
    key: str

    def row_key(self) -> str:
        """Return the key of the row; parts are escaped, so that no two calls share it."""
        return "/".join(quote(part, safe="") for part in self)
