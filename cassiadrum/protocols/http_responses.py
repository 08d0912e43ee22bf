"""An HTTP response that a client received."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from cassiadrum.protocols.http_requests import Headers

__all__ = ["HttpResponse"]


class HttpResponse(NamedTuple):
    """Status, headers and a stream of the body.

    Iterating `body` raises AnswerLost when the connection ends before the body does. The body
    must be read to its end, or closed with `aclose()`, which closes the connection.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), default)

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([part async for part in self.body])
