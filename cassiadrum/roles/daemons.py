"""The base class of both roles: start, graceful shutdown and stop."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any

from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import TlsContexts
from cassiadrum.protocols import HttpClient

__all__ = ["REFUSAL_DELIVERY_TIMEOUT_S", "Daemon"]

POLL_INTERVAL_S = 0.05
# A slow poll suffices because certificates are replaced hours before the old ones expire.
TLS_POLL_INTERVAL_S = 10.0
# Limit for the delivery of the refusals that are sent at the end of a drain.
REFUSAL_DELIVERY_TIMEOUT_S = 2.0


class Daemon(ABC):
    """The tasks of a role; after `start`, `addresses` maps names to the bound HOST:PORT."""

    def __init__(self, ring: EventRing, tls: TlsContexts | None = None) -> None:
        self.ring = ring
        self._tls = tls
        self.addresses: dict[str, str] = {}
        # Clients of the stores; their connections are closed once the tasks have ended.
        self.store_clients: list[HttpClient] = []
        self._tasks: list[asyncio.Task[Any]] = []

    @abstractmethod
    async def start(self) -> None:
        """Bind the addresses and start the tasks."""

    @abstractmethod
    def begin_drain(self) -> None:
        """Stop accepting new work; further calls have no effect."""

    @abstractmethod
    def in_flight(self) -> int:
        """Return the number of requests that are not finished."""

    @abstractmethod
    def describe_in_flight(self) -> list[str]:
        """Return one line of text for each request that is not finished."""

    @abstractmethod
    def may_stop(self) -> bool:
        """Return whether a draining process has no work left."""

    @abstractmethod
    def refuse_in_flight(self) -> None:
        """End all requests in flight with the reason `draining`.

        `ran` is unknown unless a request was never sent to an endpoint.
        """

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the state for `/admin/status` as a JSON object."""

    @abstractmethod
    async def close(self) -> None:
        """Stop immediately."""

    async def wait_drained(self) -> None:
        """Wait until the process may stop."""
        # The state is polled because it is spread over several tasks.
        while self._tasks and not self.may_stop():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refuse_and_wait(self) -> None:
        """Refuse the requests in flight at the drain limit and wait for delivery.

        Waits at most REFUSAL_DELIVERY_TIMEOUT_S.
        """
        self.ring.record(EventKind.DRAIN_LIMIT_REACHED, in_flight=self.in_flight())
        self.refuse_in_flight()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSAL_DELIVERY_TIMEOUT_S):
                while self.in_flight():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    def reload_tls(self) -> None:
        """Reload the certificate files unconditionally."""
        if self._tls is not None:
            self._tls.reload(changed_only=False)

    async def watch_tls(self) -> None:
        """Reload the certificate files when they change, until cancelled."""
        while self._tls is not None:
            await asyncio.sleep(TLS_POLL_INTERVAL_S)
            self._tls.reload()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks.clear()
        for client in self.store_clients:
            client.close()
