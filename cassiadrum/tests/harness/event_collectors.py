"""Collection of the events of a process."""

import asyncio
import contextlib
import json

from cassiadrum.events import Event, EventKind, decode_event
from cassiadrum.protocols import HttpClient, HttpError

__all__ = ["EventCollector"]

POLL_S = 0.03
READ_TIMEOUT_S = 1.0


class EventCollector:
    """Poll the admin interface, so that the events of a process that is killed are not lost."""

    def __init__(self, admin_address: str) -> None:
        host, _, port = admin_address.rpartition(":")
        self.events: list[Event] = []
        self._start_id = ""
        self._replaced = False
        self._client = HttpClient(host, int(port))
        self._task = asyncio.create_task(self._run())

    @property
    def stopped(self) -> bool:
        """Return whether the last event of the process has been read."""
        return bool(self.events) and self.events[-1].kind is EventKind.STOPPED

    async def close(self) -> None:
        """Stop polling."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._client.close()

    async def _run(self) -> None:
        while not self.stopped and not self._replaced:
            # The process may be suspended or gone; the next read starts after the last event read.
            with contextlib.suppress(HttpError, TimeoutError):
                async with asyncio.timeout(READ_TIMEOUT_S):
                    await self._read()
            await asyncio.sleep(POLL_S)

    async def _read(self) -> None:
        after = self.events[-1].sequence if self.events else 0
        response = await self._client.request("GET", f"/admin/events?after={after}")
        try:
            body = json.loads(await response.read())
            events, start_id = body["events"], str(body["start_id"])
        except (ValueError, KeyError):
            events, start_id = [], ""
        self._start_id = self._start_id or start_id
        # Another process may listen on the port after this one has ended.
        self._replaced = not start_id or start_id != self._start_id
        if not self._replaced:
            self.events += [decode_event(event) for event in events]
