"""A response as the client reads it."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from cassiadrum.protocols.http_requests import Headers

__all__ = ["HttpResponse"]


class HttpResponse(NamedTuple):
    """Hold status and headers, and the body as a stream of byte strings.

    Iterating `body` raises AnswerLost when the connection ends before the body does. The body
    must be read to its end or closed with `aclose()`, which drops the connection.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header, given in lower case."""
        return next((value for key, value in self.headers if key == name), default)

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([part async for part in self.body])
