"""Reader of the events and metrics of the processes of a site."""

import asyncio
import contextlib
import re
import time
from typing import Any

import msgspec

from cassiadrum.events import Event, EventError, decode_event
from cassiadrum.protocols import Headers, HttpClient, HttpError
from cassiadrum.stores import HttpInstanceList, StoreTransport, StoreUnavailable

__all__ = ["ProcessReader"]

POLL_INTERVAL_S = 0.5
READ_TIMEOUT_S = 5.0
WASTED_TOKENS_PATTERN = re.compile(
    r"^cassiadrum_wasted_tokens_total\{[^}]*\} ([0-9.e+]+)$", re.MULTILINE
)


class ProcessReader:
    """Reader of the events of all instances in the instance list while a load runs.

    The ring buffers of the processes are bounded, so they are read often. Events that are
    overwritten before they are read are counted as missing in the report.
    """

    def __init__(self, instance_list: str, admin_token: str = "") -> None:
        self.events: list[Event] = []
        self._instance_list = HttpInstanceList(
            StoreTransport(_client(instance_list), time.monotonic)
        )
        self._headers: Headers = (("authorization", f"Bearer {admin_token}"),)
        if not admin_token:
            self._headers = ()
        self._last_sequences: dict[str, int] = {}

    async def run(self) -> None:
        """Read events until cancelled."""
        while True:
            with contextlib.suppress(StoreUnavailable):
                await self.read()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read(self) -> None:
        """Read all new events; raise StoreUnavailable if the instance list cannot be read."""
        addresses = [member.admin_address for member in await self._instance_list.fetch()]
        await asyncio.gather(*(self._read_events(address) for address in addresses))

    async def read_wasted_tokens(self) -> int:
        """Return the wasted tokens of all instances since they started.

        Raises StoreUnavailable if the instance list cannot be read.
        """
        total = 0.0
        for member in await self._instance_list.fetch():
            text = await self._get(member.admin_address, "/metrics")
            total += sum(
                float(value) for value in WASTED_TOKENS_PATTERN.findall((text or b"").decode())
            )
        return int(total)

    async def _read_events(self, address: str) -> None:
        while True:
            after = self._last_sequences.get(address, 0)
            body = await self._get(address, f"/admin/events?after={after}")
            if body is None:
                return
            try:
                page = msgspec.json.decode(body, type=dict[str, Any])
                events = [decode_event(plain) for plain in page["events"]]
            except (msgspec.DecodeError, KeyError, EventError):
                return
            if not events:
                return
            self.events += events
            self._last_sequences[address] = events[-1].sequence

    async def _get(self, address: str, target: str) -> bytes | None:
        """Return the response body, or None without an answer or on a status other than 200."""
        client = _client(address)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                response = await client.request("GET", target, self._headers)
                body = await response.read()
                return body if response.status == 200 else None
        except (HttpError, TimeoutError):
            return None
        finally:
            client.close()


def _client(address: str) -> HttpClient:
    host, _, port = address.rpartition(":")
    return HttpClient(host, int(port))
