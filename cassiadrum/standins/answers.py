"""The answer of a stand-in to one request."""

import json
from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["Answer"]


class Answer(NamedTuple):
    """Hold status, body, content type and further headers."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Headers = ()

    @classmethod
    def from_object(cls, status: int, value: object) -> "Answer":
        """Return an answer with a JSON body."""
        return cls(status, json.dumps(value).encode())
