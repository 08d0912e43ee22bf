"""Client of the weight store over HTTP."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

import msgspec

from cassiadrum.defaults import LIMITS
from cassiadrum.protocols import HttpError
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.stores.store_transports import StoreTransport, quote_segment
from cassiadrum.stores.weight_stores import WeightStore

__all__ = ["HttpWeightStore"]


class HttpWeightStore(WeightStore):
    """Access the platform's weight store over HTTP.

    A download fails when no bytes arrive for `stall_timeout_s`.
    """

    def __init__(
        self, transport: StoreTransport, *, stall_timeout_s: float = LIMITS.STORE_TIMEOUT_S
    ) -> None:
        self._transport = transport
        self._stall_timeout_s = stall_timeout_s

    async def size(self, name: str) -> int | None:
        """Return the size in bytes, or None if the name is unknown; raise StoreUnavailable."""
        answer = await self._transport.read(f"/weights/{quote_segment(name)}/size")
        if answer.status == 404:
            return None
        try:
            return msgspec.json.decode(answer.body, type=dict[str, int])["bytes"]
        except (msgspec.MsgspecError, KeyError) as exc:
            raise StoreUnavailable(f"status {answer.status}: {exc}") from exc

    async def download(self, name: str, offset: int = 0) -> AsyncGenerator[bytes, None]:
        """Yield the bytes from `offset`; raise StoreUnavailable if the download is cut off."""
        response = await self._transport.open(f"/weights/{quote_segment(name)}?offset={offset}")
        if response.status != 200:
            raise StoreUnavailable(f"status {response.status}")
        body = response.body
        try:
            while (part := await self._next_part(body)) is not None:
                yield part
        finally:
            if isinstance(body, AsyncGenerator):
                await body.aclose()

    async def _next_part(self, body: AsyncIterator[bytes]) -> bytes | None:
        try:
            async with asyncio.timeout(self._stall_timeout_s):
                return await anext(body, None)
        except (HttpError, TimeoutError) as exc:
            raise StoreUnavailable(f"download interrupted: {exc}") from exc
