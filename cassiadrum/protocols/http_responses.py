"""An HTTP response that a client received."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Final, NamedTuple

from cassiadrum.protocols.errors import BodyTooLarge
from cassiadrum.protocols.http_requests import Headers

__all__ = ["MAX_BODY_BYTES", "HttpResponse"]

# Bounds the memory of a body that does not end; the largest objects of the stores have 8 MiB.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024


class HttpResponse(NamedTuple):
    """Status, headers and a stream of the body.

    Iterating `body` raises AnswerLost when the connection ends before the body does. The body
    must be read to its end, or closed with `aclose()`, which closes the connection.
    """

    status: int
    headers: Headers
    body: AsyncGenerator[bytes, None]

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), default)

    @property
    def body_bytes(self) -> int | None:
        """Return the length of the body that the headers state, None if they state none."""
        text = self.header("content-length")
        return int(text) if text.isascii() and text.isdecimal() else None

    async def read(
        self,
        limit_bytes: int = MAX_BODY_BYTES,
        on_data: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the whole body; close the connection and raise BodyTooLarge above the limit.

        Of a body that states a larger length only the first part is read. `on_data` gets the size
        of each part.
        """
        parts: list[bytes] = []
        size = 0
        try:
            async for part in self.body:
                parts.append(part)
                size += len(part)
                if max(size, self.body_bytes or 0) > limit_bytes:
                    raise BodyTooLarge(limit_bytes)
                if on_data is not None:
                    await on_data(len(part))
        finally:
            await self.body.aclose()
        return b"".join(parts)
