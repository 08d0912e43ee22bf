"""Client of the object store over HTTP."""

from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.stores.object_stores import ObjectStore
from cassiadrum.stores.store_transports import StoreResponse, StoreTransport, quote_segment
from cassiadrum.stores.write_results import Done, Refused, WriteResult

__all__ = ["HttpObjectStore"]


class HttpObjectStore(ObjectStore):
    """Access the platform's object store over HTTP."""

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if there is none; raise StoreUnavailable."""
        answer = await self._transport.read(f"/objects/{quote_segment(key)}")
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise StoreUnavailable(f"status {answer.status}")
        return answer.body

    async def put(self, key: str, data: bytes) -> WriteResult:
        """Write an object."""
        return await self._write("PUT", key, data)

    async def delete(self, key: str) -> WriteResult:
        """Delete an object; Done also if there is none."""
        return await self._write("DELETE", key)

    async def _write(self, method: str, key: str, data: bytes = b"") -> WriteResult:
        answer = await self._transport.write(method, f"/objects/{quote_segment(key)}", (), data)
        if not isinstance(answer, StoreResponse):
            return answer
        return Done() if answer.status == 200 else Refused(f"status {answer.status}")
