"""Answer of a stand-in to one request."""

import json
from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["Answer"]


class Answer(NamedTuple):
    """Status, body, content type and further headers of an answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Headers = ()

    @classmethod
    def from_object(cls, status: int, value: object) -> "Answer":
        """Return an answer with the JSON encoding of `value` as its body."""
        return cls(status, json.dumps(value).encode())
