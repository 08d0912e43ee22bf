"""Answers of endpoints in memory that are cut off, and what a caller gets of them."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, cast

import h11

from cassiadrum.gateways import Route
from cassiadrum.gateways.answer_writers import AnswerWriter
from cassiadrum.gateways.attempts import Attempt
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_entries import Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placement_queues import Assignment
from cassiadrum.gateways.relays import Relay
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.request_retries import RequestRetries
from cassiadrum.gateways.stream_origins import MemoryOriginStore, StreamOrigins
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.headers import Header
from cassiadrum.protocols import Exchange, HttpRequest, MemoryBudget
from cassiadrum.tests.gateways.makers import make_call, make_view

OWN_ID = "r1"
NAMED_LINES = (f"{Header.REQUEST_ID}: {OWN_ID}", f"{Header.SIGNATURE}: signed")
# Headers of a caller's answer that the gateway sets itself.
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding", "connection"})


class Ending(Enum):
    """How a connection ends after the bytes that arrive."""

    CLOSED = "closed"
    CLOSED_WITH_DATA = "closed together with the last bytes"
    RESET = "reset"
    RESET_WITH_DATA = "reset together with the last bytes"
    ABORTED = "aborted by the gateway"

    @property
    def orderly(self) -> bool:
        """Return whether the end of an answer without a length is believed."""
        return self in (Ending.CLOSED, Ending.CLOSED_WITH_DATA)

    @property
    def with_data(self) -> bool:
        """Return whether the end arrives before the last bytes are read."""
        return self in (Ending.CLOSED_WITH_DATA, Ending.RESET_WITH_DATA)


class EndpointTransport(asyncio.Transport):
    """The endpoint's side of a connection, which answers each request with given bytes.

    `abort` is what the ending ABORTED calls; by default the transport is aborted.
    """

    def __init__(
        self, protocol: asyncio.Protocol, abort: Callable[[], None] | None = None
    ) -> None:
        super().__init__()
        self._protocol = protocol
        self._abort = abort or self.abort
        self._closing = False
        self._answers: list[tuple[bytes, Ending | None]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def add_answer(self, data: bytes, ending: Ending | None) -> None:
        """Answer the next request with bytes and, unless `ending` is None, end the connection."""
        self._answers.append((data, ending))

    def write(self, data: Any) -> None:
        """Take a request and begin to answer it."""
        task = asyncio.get_running_loop().create_task(self._answer(*self._answers.pop(0)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def abort(self) -> None:
        """Close the connection as asyncio does it."""
        if not self._closing:
            self._closing = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    def close(self) -> None: ...

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    async def _answer(self, data: bytes, ending: Ending | None) -> None:
        await asyncio.sleep(0)
        if data:
            self._protocol.data_received(data)
        if ending is None:
            return
        if not ending.with_data:
            # Lets the reader take the bytes.
            for _ in range(4):
                await asyncio.sleep(0)
        if ending is Ending.ABORTED:
            self._abort()
        elif ending.orderly:
            self._protocol.eof_received()
            self._protocol.connection_lost(None)
        else:
            self._protocol.connection_lost(ConnectionResetError(104, "Connection reset by peer"))


async def make_connection(
    data: bytes, ending: Ending, *, reused: bool = False
) -> EndpointConnection:
    """Return a connection whose endpoint answers the next request with bytes and the ending."""
    conn = EndpointConnection()
    transport = EndpointTransport(conn, conn.abort)
    conn.connection_made(transport)
    if reused:
        transport.add_answer(b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok", None)
        conn.send("GET", "/", (("host", "a"),), b"")
        await conn.read_head()
        while await conn.read_data() is not None:
            pass
        assert conn.finish()
    transport.add_answer(data, ending)
    return conn


class GivenPool(ConnectionPool):
    """A pool that lends given connections in their order."""

    def __init__(self, conns: list[EndpointConnection]) -> None:
        super().__init__()
        self.conns = conns

    async def acquire(
        self, target: Incarnation, now: float, *, recently_used: bool = False
    ) -> EndpointConnection:
        """Return the next connection."""
        return self.conns.pop(0)


class FailingProber(LoadProber):
    """A prober whose endpoints do not answer."""

    async def probe(self, view: EndpointView) -> bool:
        """Return that the endpoint did not answer."""
        return False


class CallerAnswer(NamedTuple):
    """What a caller reads; `whole` if the answer is framed as complete."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool


class CallerSide:
    """A caller's connection in memory, and the exchange that answers it."""

    def __init__(self) -> None:
        self._client = h11.Connection(h11.CLIENT)
        server = h11.Connection(h11.SERVER)
        request = h11.Request(method="POST", target="/a/b", headers=[("host", "a")])
        server.receive_data(self._client.send(request) or b"")
        self._client.send(h11.EndOfMessage())
        while server.next_event() is not h11.PAUSED and server.their_state is not h11.DONE:
            pass
        self._sent = bytearray()
        self._closing = False
        self.transport = self
        self.exchange = Exchange(
            HttpRequest("POST", "/a/b", (), b""),
            server,
            cast(asyncio.StreamWriter, self),
        )

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        self._sent += data

    async def drain(self) -> None: ...

    def is_closing(self) -> bool:
        return self._closing

    def abort(self) -> None:
        self._closing = True

    def read(self) -> CallerAnswer:
        """Return what the caller has received."""
        if self._sent:
            self._client.receive_data(bytes(self._sent))
        self._client.receive_data(b"")
        status, body, whole = 0, bytearray(), False
        headers: tuple[tuple[str, str], ...] = ()
        with contextlib.suppress(h11.RemoteProtocolError):
            while not isinstance(event := self._client.next_event(), h11.ConnectionClosed):
                if isinstance(event, h11.Response):
                    status = event.status_code
                    lines = [(n.decode(), v.decode("latin-1")) for n, v in event.headers]
                    headers = tuple(line for line in lines if line[0] not in FRAMING_HEADERS)
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                    break
        return CallerAnswer(status, headers, bytes(body), whole)


class PermittedRetries(RequestRetries):
    """Retries that are always permitted and reserve nothing."""

    def __init__(self) -> None: ...

    def is_possible(self) -> bool:
        return True

    def try_reserve(self) -> bool:
        return True

    def release(self) -> None: ...


async def relay_answers(conns: list[EndpointConnection], route: Route) -> CallerAnswer:
    """Return what a caller gets when endpoints answer the attempts of its request in turn."""
    clock: Callable[[], float] = time.monotonic
    ctx = RequestContext(make_call(OWN_ID), clock())
    ctx.resolve(route, None, "drafts")
    caller = CallerSide()
    pool = GivenPool(conns)
    protocol = PlatformProtocol()
    prober = FailingProber(pool, protocol, clock, lambda _: None)
    log = DecisionLog(clock)
    origins = StreamOrigins(MemoryOriginStore(), log, GatewayMetrics(), clock)
    relay = Relay(ctx, caller.exchange, log, clock, prober, PermittedRetries(), origins)
    while True:
        view = make_view(f"i-{len(pool.conns)}")
        memory = MemoryBudget(1_000_000, 0)
        try:
            with Attempt(ctx, Assignment(view, 0), pool, protocol, memory, clock) as attempt:
                await relay.run(attempt)
            return caller.read()
        except AttemptFailed as exc:
            if pool.conns and relay.can_continue and ctx.may_repeat():
                continue
            if relay.failure is not None and not relay.started:
                await relay.send_failure()
            else:
                await AnswerWriter(ctx, caller.exchange).fail(502, exc.reason)
            return caller.read()
