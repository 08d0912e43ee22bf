"""Checks that an endpoint lives after one of its answers has ended."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_entries import Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.sent_requests import RequestKind
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.protocols import HttpError, ProcessState, check_process

__all__ = ["LifeChecks"]

logger = logging.getLogger(__name__)

# An endpoint under load answers a request for its load within this time.
CHECK_TIMEOUT_S: Final = 0.5


class LifeChecks:
    """Checks by a request that an endpoint answers, whatever it answers.

    The kernel closes the connections of a process that has ended like the process itself does, one
    after another and the listening socket last, so that a new connection proves nothing: only an
    answer does.
    """

    def __init__(self, protocol: CallProtocol, clock: Callable[[], float]) -> None:
        self._protocol = protocol
        self._clock = clock
        # The running check of each endpoint, and the one that follows it.
        self._running: dict[Incarnation, asyncio.Task[bool]] = {}
        self._following: dict[Incarnation, asyncio.Task[bool]] = {}

    async def lives(self, view: EndpointView) -> bool:
        """Return whether an endpoint answers a request that is sent now or later.

        Concurrent callers share a check that has not begun yet: one that is running may have been
        answered before their answers ended.
        """
        target = view.entry.incarnation
        task = self._following.get(target)
        if task is None:
            task = asyncio.create_task(self._check_next(view, self._running.get(target)))
            self._following[target] = task
        return await asyncio.shield(task)

    async def _check_next(self, view: EndpointView, previous: asyncio.Task[bool] | None) -> bool:
        target = view.entry.incarnation
        if previous is not None:
            await asyncio.wait([previous])
        task = self._running[target] = self._following.pop(target)
        try:
            return await self._check(view)
        finally:
            if self._running.get(target) is task:
                del self._running[target]

    async def _check(self, view: EndpointView) -> bool:
        address = view.entry.address
        if view.blocked_s(self._clock()) > 0.0:
            # It may get no request now; a connection without one shows most ends.
            state = await check_process(address.host, address.port, CHECK_TIMEOUT_S)
            return state is ProcessState.RUNNING
        view.request_limit.take(self._clock())
        conn = None
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                conn = await EndpointConnection.open(address, CHECK_TIMEOUT_S)
                view.record_sent(RequestKind.LIFE_CHECK)
                conn.send("GET", self._protocol.load_path, (("host", str(address)),), b"")
                await conn.read_head()
        except (HttpError, TimeoutError) as exc:
            logger.info(
                "endpoint does not answer after the end of an answer: %s",
                exc or "no answer in time",
                extra={"endpoint": view.entry.instance, RATE_LIMITED_FIELD: True},
            )
            return False
        finally:
            if conn is not None:
                conn.abort()
        return True
