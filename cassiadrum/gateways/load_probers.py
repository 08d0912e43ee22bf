"""Questions to endpoints about their load."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.protocols import BadMessage, HttpError

__all__ = ["LoadProber"]

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.5
# Reports list the running requests; this is far more than an endpoint's slots need.
MAX_REPORT_BYTES = 256 * 1024
# A question costs a caller's wait and some of the endpoint's time; samples of answers are free.
MIN_PROBE_INTERVAL_S = 0.3


class LoadProber:
    """Ask an endpoint for its load where what is known of it is old.

    Answers the load pattern of many gateways that each see few answers of each endpoint: without
    asking, each of them counts its own requests only, and together they fill the endpoint.
    `on_sample` is called with the service after each question, also when it was not answered.
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
        """Ask in a task of its own, unless it was asked shortly before."""
        instance = view.entry.instance
        if instance in self._probes or self._clock() < view.last_probed_s + MIN_PROBE_INTERVAL_S:
            return
        task = asyncio.create_task(self.probe(view))
        self._probes[instance] = task
        task.add_done_callback(lambda _: self._done(view))

    def is_probing(self, view: EndpointView) -> bool:
        """Return whether an answer is expected."""
        return view.entry.instance in self._probes

    async def probe(self, view: EndpointView) -> bool:
        """Take the endpoint's load; return whether it answered."""
        view.last_probed_s = self._clock()
        target = view.entry.incarnation
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                conn = await self._pool.acquire(target, self._clock())
                try:
                    conn.send("GET", self._protocol.load_path, self._host(view), b"")
                    head = await conn.read_head()
                    body = await self._read_report(conn)
                except BaseException:
                    conn.abort()
                    raise
                self._pool.release(target, conn, None, self._clock())
            if head.status_code != 200:
                raise BadMessage(head.status_code, "no load report")
            load = self._protocol.decode_load(body, view.entry.slots)
        except (HttpError, TimeoutError) as exc:
            logger.info(
                "load report not answered: %s", exc, extra={"endpoint": view.entry.instance}
            )
            view.record_unreachable(self._clock())
            return False
        view.last_received_s = self._clock()
        view.record_sample(load, self._clock())
        return True

    @staticmethod
    async def _read_report(conn: EndpointConnection) -> bytes:
        body = b""
        while (data := await conn.read_data()) is not None:
            body += data
            if len(body) > MAX_REPORT_BYTES:
                raise BadMessage(502, f"a load report over {MAX_REPORT_BYTES} bytes")
        return body

    def close(self) -> None:
        """Stop asking."""
        for task in self._probes.values():
            task.cancel()

    def _done(self, view: EndpointView) -> None:
        self._probes.pop(view.entry.instance, None)
        self._on_probed(view.entry.service)

    @staticmethod
    def _host(view: EndpointView) -> tuple[tuple[str, str], ...]:
        return (("host", str(view.entry.address)),)
