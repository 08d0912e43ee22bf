"""A stand-in for an endpoint that serves plain calls and resumable streams, with faults."""

import asyncio
import json
import time
from typing import NamedTuple

from cassiadrum.platform.headers import Header
from cassiadrum.protocols import Exchange, Headers, HttpServer

__all__ = ["EndpointRun", "EndpointService"]

REPORT_PATH = "/-/report"


class EndpointRun(NamedTuple):
    """Record of a request that this endpoint ran; header names are in lower case.

    `at_s` is the time of its arrival in monotonic seconds.
    """

    request_id: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float


class EndpointService:
    """An endpoint that answers with its name, or with a stream of events to token counts.

    Faults are set as attributes: `refuse` answers 503 without running the request, with
    `retry_after` if that is set; `hang` never answers; `cut_after` aborts each stream after that
    many events; `fail` runs a request and answers 500; `leaving` announces a shutdown in every
    answer; `limit` is the text of the request limit that every answer states, None for no limit.
    Events are sent `event_interval_s` apart; a plain answer is sent after `answer_delay_s`.
    `version` is that of the software.
    """

    def __init__(
        self,
        instance: str,
        *,
        slots: int = 8,
        event_interval_s: float = 0.0,
        version: str = "v1",
    ) -> None:
        self.instance = instance
        self.version = version
        self.runs: list[EndpointRun] = []
        # Ids of requests that stopped because their connection was closed.
        self.stopped: list[str] = []
        self.refuse = False
        self.retry_after = ""
        self.refused = 0
        self.leaving = False
        self.limit: str | None = None
        # Times at which requests arrived, load probes included, in monotonic seconds.
        self.arrivals: list[float] = []
        # Registered start time in milliseconds since 1970.
        self.born = 1
        self.hang = False
        self.fail = False
        self.cut_after: int | None = None
        self.answer_delay_s = 0.0
        self.running = 0
        self._slots = slots
        self._event_interval_s = event_interval_s
        self._server = HttpServer(self._handle)
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen, and set `address`."""
        self.address = f"{host}:{await self._server.start(host, port)}"

    async def close(self) -> None:
        """Abort all connections, as a crash does."""
        await self._server.abort()

    def entry(self, service: str, *, state: str = "ready", zone: str = "a") -> dict[str, object]:
        """Return the row with which this endpoint registers."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": self.version,
            "slots": self._slots,
            "state": state,
            "cold_left_ms": 0,
            "born": self.born,
            "seq": 1,
        }

    def event_data(self, number: int) -> str:
        """Return the data of an event of a stream."""
        return json.dumps(number)

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        arrived_s = time.monotonic()
        self.arrivals.append(arrived_s)
        if req.path == REPORT_PATH:
            report = {"running": self.running, "waiting": 0, "born": self.born}
            await exchange.send_json(200, report, self._notice_headers())
            return
        request_id = req.header(Header.REQUEST_ID)
        wanted = req.header(Header.TARGET_INSTANCE)
        if wanted and wanted != self.instance:
            name = ("x-cassiadrum-instance-id", self.instance)
            own = ((Header.REQUEST_ID, request_id), name, *self._notice_headers())
            await exchange.send_json(421, {}, own)
            return
        if self.refuse:
            self.refused += 1
            head = ((Header.REQUEST_ID, request_id), (Header.NOT_RUN, "1"))
            await exchange.send_json(503, {}, (*head, *self._notice_headers()))
            return
        run = EndpointRun(request_id, req.target, dict(req.headers), req.body, arrived_s)
        self.runs.append(run)
        self.running += 1
        try:
            await self._run(exchange, request_id)
        finally:
            self.running -= 1

    def _notice_headers(self) -> Headers:
        """Return the headers of a shutdown, a pause and a limit, sent with every answer."""
        leaving = ((Header.LEAVING, "1"),) if self.leaving else ()
        pause = ((Header.RETRY_AFTER, self.retry_after),) if self.retry_after else ()
        limit = ((Header.REQUEST_LIMIT, self.limit),) if self.limit is not None else ()
        return (*leaving, *pause, *limit)

    async def _run(self, exchange: Exchange, request_id: str) -> None:
        if self.hang:
            await exchange.disconnected.wait()
            self.stopped.append(request_id)
            return
        head: Headers = (
            (Header.REQUEST_ID, request_id),
            (Header.SIGNATURE, f"signed-by-{self.instance}"),
            (Header.LOAD, f"{self.running},0,{self._slots}"),
            *self._notice_headers(),
        )
        if not exchange.req.header(Header.TOKENS):
            await asyncio.sleep(self.answer_delay_s)
        if self.fail:
            await exchange.send_json(500, {"from": self.instance}, head)
        elif exchange.req.header(Header.TOKENS):
            await self._stream(exchange, head, request_id)
        else:
            await exchange.send(200, self.instance.encode(), "text/plain", head)

    async def _stream(self, exchange: Exchange, head: Headers, request_id: str) -> None:
        first = int(exchange.req.header(Header.LAST_EVENT_ID) or "0") + 1
        count = int(exchange.req.header(Header.TOKENS).split(",")[1])
        await exchange.send_head(200, (*head, ("content-type", "text/event-stream")))
        loop = asyncio.get_running_loop()
        # Due times are absolute, so that late timers on a busy machine do not accumulate.
        due_s = loop.time()
        for sent, number in enumerate(range(first, count + 1)):
            if sent == self.cut_after:
                await exchange.send_data(f"id: {number}\nda".encode())
                exchange.abort()
                return
            if exchange.disconnected.is_set():
                self.stopped.append(request_id)
                return
            event = f"id: {number}\ndata: {self.event_data(number)}\n\n"
            await exchange.send_data(event.encode())
            due_s += self._event_interval_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
        await exchange.end()
