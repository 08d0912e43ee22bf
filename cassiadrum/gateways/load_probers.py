"""Load probes of endpoints."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.gateways.answer_readers import read_own_head
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.sent_requests import RequestKind
from cassiadrum.protocols import BadMessage, HttpError, TransferTimeout

__all__ = ["LoadProber"]

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.5
# Reports list the running requests; the limit is far above the size for an endpoint's slots.
MAX_REPORT_BYTES = 256 * 1024
# A probe delays a request and costs the endpoint time, while samples in answers are free.
MIN_PROBE_INTERVAL_S = 0.3


class LoadProber:
    """Requests for load reports of endpoints whose last sample is too old.

    Where many gateways each see few answers of an endpoint, each would otherwise count only its
    own requests, and together they would overload the endpoint. `on_probed` is called with the
    service after each probe, also after a failed one.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        protocol: CallProtocol,
        clock: Callable[[], float],
        on_probed: Callable[[str], None],
    ) -> None:
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._on_probed = on_probed
        self._probes: dict[str, asyncio.Task[bool]] = {}

    def probe_in_background(self, view: EndpointView) -> None:
        """Probe an endpoint in a task of its own, unless it was probed shortly before."""
        instance = view.entry.instance
        if instance in self._probes or self._clock() < view.last_probed_s + MIN_PROBE_INTERVAL_S:
            return
        self._start(view)

    def is_probing(self, view: EndpointView) -> bool:
        """Return whether a probe of the endpoint is running."""
        return view.entry.instance in self._probes

    async def probe(self, view: EndpointView) -> bool:
        """Request the endpoint's load and record it; return whether it answered.

        The probe counts against the endpoint's request limit. Concurrent callers share one probe:
        all requests of an endpoint that falls silent would otherwise probe it at once, and each
        probe without an answer would extend the time for which the endpoint is avoided.
        """
        task = self._probes.get(view.entry.instance) or self._start(view)
        return await asyncio.shield(task)

    def _start(self, view: EndpointView) -> asyncio.Task[bool]:
        task = asyncio.create_task(self._probe(view))
        self._probes[view.entry.instance] = task
        task.add_done_callback(lambda _: self._done(view))
        return task

    async def _probe(self, view: EndpointView) -> bool:
        sent_s = view.last_probed_s = self._clock()
        view.request_limit.take(sent_s)
        target = view.entry.incarnation
        try:
            async with TransferTimeout(PROBE_TIMEOUT_S, PROBE_TIMEOUT_S, 0.0) as limit:
                conn = await self._pool.acquire(target, self._clock())
                try:
                    conn.send("GET", self._protocol.load_path, self._host(view), b"")
                    view.record_sent(RequestKind.LOAD_PROBE)
                    head = await read_own_head(conn, self._protocol, "")
                    body = await self._read_report(conn, limit)
                except BaseException:
                    conn.abort()
                    raise
                self._pool.release(target, conn, None, self._clock())
            if head.status != 200:
                raise BadMessage(head.status, "no load report")
            load = self._protocol.decode_load(body, view.entry.slots)
            if head.limit is not None:
                # A report without a limit does not end one.
                view.request_limit.record_answer(head.limit, sent_s, self._clock())
        except (HttpError, TimeoutError) as exc:
            logger.info("load probe failed: %s", exc, extra={"endpoint": view.entry.instance})
            view.record_unreachable(self._clock())
            return False
        view.last_received_s = self._clock()
        view.record_sample(load, self._clock())
        return True

    @staticmethod
    async def _read_report(conn: EndpointConnection, limit: TransferTimeout) -> bytes:
        body = bytearray()
        while (data := await conn.read_data()) is not None:
            body += data
            limit.record_data(len(data))
            if len(body) > MAX_REPORT_BYTES:
                raise BadMessage(502, f"a load report over {MAX_REPORT_BYTES} bytes")
        return bytes(body)

    def close(self) -> None:
        """Cancel the background probes."""
        for task in self._probes.values():
            task.cancel()

    def _done(self, view: EndpointView) -> None:
        self._probes.pop(view.entry.instance, None)
        self._on_probed(view.entry.service)

    @staticmethod
    def _host(view: EndpointView) -> tuple[tuple[str, str], ...]:
        return (("host", str(view.entry.address)),)
