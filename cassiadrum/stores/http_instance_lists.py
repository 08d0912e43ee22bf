"""Client of the instance list over HTTP."""

import msgspec

from cassiadrum.protocols import Headers
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.stores.instance_lists import InstanceList
from cassiadrum.stores.instances import Instance
from cassiadrum.stores.store_transports import StoreResponse, StoreTransport, quote_segment
from cassiadrum.stores.write_results import Done, Refused, WriteResult

__all__ = ["HttpInstanceList"]


class HttpInstanceList(InstanceList):
    """Access the platform's instance list over HTTP."""

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport
        self._etag = ""
        self._last: tuple[Instance, ...] = ()

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the listed instances; raise StoreUnavailable.

        The read is conditional, since a list of 9,600 instances is larger than a megabyte.
        """
        condition: Headers = (("if-none-match", self._etag),) if self._etag else ()
        answer = await self._transport.read("/instances", condition)
        if answer.status == 304:
            return self._last
        if answer.status != 200:
            raise StoreUnavailable(f"status {answer.status}")
        try:
            raw = msgspec.json.decode(answer.body, type=dict[str, list[dict[str, object]]])
            ordered = [[item[name] for name in Instance._fields] for item in raw["instances"]]
            self._last = msgspec.convert(ordered, tuple[Instance, ...])
        except (msgspec.MsgspecError, KeyError) as exc:
            raise StoreUnavailable(f"invalid answer: {exc}") from exc
        self._etag = next((value for name, value in answer.headers if name == "etag"), "")
        return self._last

    async def register(self, instance: Instance) -> WriteResult:
        """Add or replace an entry; the call is idempotent."""
        body = msgspec.json.encode(instance._asdict())
        return await self._write("PUT", f"/instances/{quote_segment(instance.instance)}", body)

    async def deregister(self, instance: str) -> WriteResult:
        """Remove an entry; the call is idempotent."""
        return await self._write("DELETE", f"/instances/{quote_segment(instance)}")

    async def mark_leaving(self, instance: str) -> WriteResult:
        """Set the state of an entry to `leaving`; the call is idempotent."""
        return await self._write("POST", f"/instances/{quote_segment(instance)}/leaving")

    async def _write(self, method: str, target: str, body: bytes = b"") -> WriteResult:
        answer = await self._transport.write(method, target, (), body)
        if not isinstance(answer, StoreResponse):
            return answer
        return Done() if answer.status == 200 else Refused(f"status {answer.status}")
