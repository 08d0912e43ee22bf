"""The key of a once-only call."""

from typing import NamedTuple
from urllib.parse import quote

__all__ = ["ClaimKey"]


class ClaimKey(NamedTuple):
    """Identity of a call: service, customer and the caller's idempotency key."""

    service: str
    customer: str
    key: str

    def row_key(self) -> str:
        """Return the row key; parts are escaped so that different calls never share a key."""
        return "/".join(quote(part, safe="") for part in self)
