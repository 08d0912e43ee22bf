"""Checks that an endpoint lives after one of its answers has ended."""

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Final

import h11

from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_entries import Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.sent_requests import RequestKind
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.protocols import BadMessage, HttpError, ProcessState, check_process

__all__ = ["FoundProcess", "LifeChecks"]

logger = logging.getLogger(__name__)

# An endpoint under load answers a request for its load within this time.
CHECK_TIMEOUT_S: Final = 0.5
MAX_REPORT_BYTES: Final = 256 * 1024
OK_STATUS: Final = 200
REPORT_TYPE: Final = b"application/json"


class FoundProcess(Enum):
    """What a request to an endpoint's address tells of the process there."""

    # It answers, and states no other start than the registered one.
    REGISTERED = "registered"
    # Another incarnation answers.
    OTHER = "other"
    NONE = "none"


class LifeChecks:
    """Checks by a request that the registered incarnation of an endpoint answers.

    The kernel closes the connections of a process that has ended like the process itself does, one
    after another and the listening socket last, so that a new connection proves nothing: only an
    answer does. An answer that does not state when its endpoint started is believed.
    """

    def __init__(
        self, pool: ConnectionPool, protocol: CallProtocol, clock: Callable[[], float]
    ) -> None:
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        # The running check of each endpoint, and the one that follows it.
        self._running: dict[Incarnation, asyncio.Task[FoundProcess]] = {}
        self._following: dict[Incarnation, asyncio.Task[FoundProcess]] = {}

    async def check(self, view: EndpointView) -> FoundProcess:
        """Return which process answers a request that is sent now or later.

        Concurrent callers share a check that has not begun yet: one that is running may have been
        answered before their answers ended.
        """
        target = view.entry.incarnation
        task = self._following.get(target)
        if task is None:
            task = asyncio.create_task(self._check_next(view, self._running.get(target)))
            self._following[target] = task
        return await asyncio.shield(task)

    async def _check_next(
        self, view: EndpointView, previous: asyncio.Task[FoundProcess] | None
    ) -> FoundProcess:
        target = view.entry.incarnation
        if previous is not None:
            await asyncio.wait([previous])
        task = self._running[target] = self._following.pop(target)
        try:
            return await self._check(view)
        finally:
            if self._running.get(target) is task:
                del self._running[target]

    async def _check(self, view: EndpointView) -> FoundProcess:
        address = view.entry.address
        if view.blocked_s(self._clock()) > 0.0:
            # It may get no request now; a connection without one shows most ends.
            state = await check_process(address.host, address.port, CHECK_TIMEOUT_S)
            is_running = state is ProcessState.RUNNING
            return FoundProcess.REGISTERED if is_running else FoundProcess.NONE
        view.request_limit.take(self._clock())
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await self._ask(view)
        except (HttpError, TimeoutError) as exc:
            logger.info(
                "endpoint does not answer a check: %s",
                exc or "no answer in time",
                extra={"endpoint": view.entry.instance, RATE_LIMITED_FIELD: True},
            )
            return FoundProcess.NONE

    async def _ask(self, view: EndpointView) -> FoundProcess:
        """Return which process answers; raise HttpError if none does."""
        conn = await self._pool.acquire(view.entry.incarnation, self._clock())
        try:
            return await self._ask_over(conn, view)
        except HttpError:
            if not conn.reused:
                raise
        # The endpoint may have closed the idle connection.
        conn = await EndpointConnection.open(view.entry.address, CHECK_TIMEOUT_S)
        return await self._ask_over(conn, view)

    async def _ask_over(self, conn: EndpointConnection, view: EndpointView) -> FoundProcess:
        try:
            conn.send("GET", self._protocol.load_path, (("host", str(view.entry.address)),), b"")
            view.record_sent(RequestKind.LIFE_CHECK)
            response = await conn.read_head()
            if not _is_report(response):
                conn.abort()
                return FoundProcess.REGISTERED
            body = await _read_report(conn)
        except BaseException:
            conn.abort()
            raise
        if self._protocol.decode_started_ms(body) not in (None, view.entry.started_ms):
            conn.abort()
            return FoundProcess.OTHER
        self._pool.release(view.entry.incarnation, conn, None, self._clock())
        return FoundProcess.REGISTERED


def _is_report(response: h11.Response) -> bool:
    """Return whether an answer may state when the endpoint started."""
    types = [value for name, value in response.headers if name == b"content-type"]
    return response.status_code == OK_STATUS and types[:1] == [REPORT_TYPE]


async def _read_report(conn: EndpointConnection) -> bytes:
    body = bytearray()
    while (data := await conn.read_data()) is not None:
        body += data
        if len(body) > MAX_REPORT_BYTES:
            raise BadMessage(502, f"a load report over {MAX_REPORT_BYTES} bytes")
    return bytes(body)
