"""Tests of endpoints that fall silent for about a second in their answers and then go on."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

import pytest

from cassiadrum.gateways import (
    CallKind,
    Catalog,
    Gateway,
    GatewaySettings,
    OpenAccess,
    RequestLimits,
    Route,
    ServiceSettings,
)
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.lag_limits import LagLimit
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.headers import Header
from cassiadrum.protocols import AnswerLost, HttpClient, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.tests.gateways.makers import make_entry, make_route
from cassiadrum.tests.gateways.sites import wait_until
from cassiadrum.tests.gateways.test_resumed_streams import chunk, event, head

ENDPOINTS = 2
EVENTS = 6
CALLERS = 16
PAUSE_S = 1.4
TIMEOUT_S = 4.5
HOST = "127.0.0.1"
SERVICE = "drafts"
BODY = b"a plain answer"
REPORT = b'{"running":0,"waiting":0}'
# Places in an answer at which an endpoint falls silent, as numbers of the part before which it
# does. A head is sent in two parts.
PLAIN_PAUSES = {"before the head": 0, "inside the head": 1, "after the head": 2, "in the body": 3}
STREAM_PAUSES = {
    "before the head": 0,
    "inside the head": 1,
    "before the first event": 2,
    "between events": 3,
    "inside an event": 4,
    "before the end": 5,
}
ONCE = make_route(kind=CallKind.ONCE, resumable=False, timeout_s=TIMEOUT_S, target_s=0.25)
IDEMPOTENT = ONCE._replace(kind=CallKind.IDEMPOTENT)
RESUMABLE = make_route(timeout_s=TIMEOUT_S, target_s=0.5)
NOT_RESUMABLE = RESUMABLE._replace(resumable=False)


class Fault(Enum):
    """What an endpoint does instead of giving an answer."""

    NONE = "none"
    REFUSE = "refuse"
    RESET = "reset"
    UNREACHABLE = "unreachable"


class Answer(NamedTuple):
    """Status and body of an answer; status 0 if it ended early."""

    status: int
    body: bytes


def plain_parts(request_id: str) -> list[bytes]:
    text = head(request_id, 200, f"content-length: {len(BODY)}")
    return [text[:20], text[20:], BODY[:5], BODY[5:]]


def stream_parts(request_id: str, first: int) -> list[bytes]:
    text = head(request_id, 200, "content-type: text/event-stream", "transfer-encoding: chunked")
    events = b"".join(map(event, range(first, EVENTS + 1)))
    middle = len(events) // 2
    # A multiple of the size of an event, less half of one.
    pieces = (events[:18], events[18:middle], events[middle:])
    parts = [chunk(piece) for piece in pieces if piece]
    return [text[:20], text[20:], *parts, b"0\r\n\r\n"]


class PausingEndpoint:
    """An endpoint that sends nothing for `pause_s` before part `pause_at` of each answer.

    While it is silent, it answers no load probe either.
    """

    def __init__(self, *, pause_at: int, pause_s: float) -> None:
        self.runs: list[str] = []
        self.fault = Fault.NONE
        self.pause_s = pause_s
        self._pause_at = pause_at
        self._silent_until_s = 0.0
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return Address(HOST, self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for handler in self._handlers:
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        handler = asyncio.current_task()
        assert handler is not None
        self._handlers.add(handler)
        try:
            await self._serve(reader, writer)
        finally:
            self._handlers.discard(handler)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                if text.startswith("get"):
                    await asyncio.sleep(self._silent_until_s - time.monotonic())
                    writer.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % len(REPORT))
                    writer.write(REPORT)
                    continue
                await reader.readexactly(2)
                await self._answer(text, writer)

    async def _answer(self, text: str, writer: asyncio.StreamWriter) -> None:
        headers = dict(line.split(": ", 1) for line in text.split("\r\n")[1:] if line)
        request_id = headers[Header.REQUEST_ID]
        if self.fault is Fault.REFUSE:
            writer.write(head(request_id, 503, f"{Header.NOT_RUN}: 1", "content-length: 0"))
            return
        if self.fault is Fault.RESET:
            raise ConnectionError
        self.runs.append(request_id)
        if Header.TOKENS in headers:
            parts = stream_parts(request_id, int(headers.get(Header.LAST_EVENT_ID, "0")) + 1)
        else:
            parts = plain_parts(request_id)
        for number, part in enumerate(parts):
            if number == self._pause_at:
                self._silent_until_s = time.monotonic() + self.pause_s
                await asyncio.sleep(self.pause_s)
            writer.write(part)
            await writer.drain()


class UnusedLagLimit(LagLimit):
    """A limit that refuses nothing.

    On a busy machine the callers and endpoints in this process delay the gateway, which then would
    refuse a part of the requests before any endpoint gets them.
    """

    def record_tick(self, late_s: float) -> None: ...


class PausingSite:
    """A gateway in this process, with the endpoints of one service."""

    def __init__(self, gateway: Gateway, endpoints: list[PausingEndpoint], port: int) -> None:
        self.gateway = gateway
        self.endpoints = endpoints
        self._port = port

    @property
    def runs(self) -> Counter[str]:
        """Return how often each request was run."""
        return Counter(run for endpoint in self.endpoints for run in endpoint.runs)

    async def call_all(self, count: int, *, streams: bool) -> list[Answer]:
        """Return the answers to concurrent requests."""
        calls = [self._call(f"r-{number}", streams=streams) for number in range(count)]
        return await asyncio.gather(*calls)

    async def _call(self, request_id: str, *, streams: bool) -> Answer:
        headers = {Header.REQUEST_ID: request_id, Header.TIMEOUT: str(int(TIMEOUT_S * 1000))}
        if streams:
            headers |= {Header.TOKENS: f"100,{EVENTS}", Header.PROMPT_PARTS: "aa:80,bb:20"}
        client = HttpClient(HOST, self._port)
        try:
            response = await client.request("POST", "/a/b", tuple(headers.items()), b"{}")
            return Answer(response.status, await response.read())
        except AnswerLost:
            return Answer(0, b"")
        finally:
            client.close()


def make_catalog(version: int, route: Route) -> Catalog:
    services = (ServiceSettings(SERVICE, 64, 500_000),)
    limits = RequestLimits(16_384, 1_000_000, 3.0, 15.0)
    return Catalog(version, (route._replace(host=HOST),), services, OpenAccess(), limits)


@contextlib.asynccontextmanager
async def pausing_site(
    route: Route,
    pause_at: int,
    pausing: int,
    slots: int = 64,
    *,
    retry_ratio: float = 0.2,
    pause_s: float = PAUSE_S,
) -> AsyncIterator[PausingSite]:
    """Run a gateway with ENDPOINTS endpoints, of which the first `pausing` fall silent."""
    cfg = GatewaySettings("a", retry_ratio, 1.0, 10.0, 60.0, True, 2.0)
    gateway = Gateway(cfg, PlatformProtocol())
    gateway.lag = UnusedLagLimit()
    gateway.configuration.set_catalog(make_catalog(1, route))
    endpoints = [
        PausingEndpoint(pause_at=pause_at, pause_s=pause_s if number < pausing else 0.0)
        for number in range(ENDPOINTS)
    ]
    entries = [
        make_entry(f"i-{number}", address=await endpoint.start(), slots=slots)
        for number, endpoint in enumerate(endpoints)
    ]
    gateway.directory.replace(entries, time.monotonic())
    server = HttpServer(gateway.handle)
    ticks = asyncio.create_task(gateway.run())
    try:
        port = await server.start(HOST, 0)
        yield PausingSite(gateway, endpoints, port)
    finally:
        ticks.cancel()
        await server.abort()
        gateway.pool.close()
        for endpoint in endpoints:
            await endpoint.close()


def is_idle(view: EndpointView) -> bool:
    """Return whether no request is counted at an endpoint."""
    return not (view.own_requests or view.own_waiting)


async def count_incomplete(route: Route, pause_at: int, pausing: int, slots: int) -> str:
    """Return a description of the answers that were not whole, empty if there are none."""
    streams = route.kind is CallKind.STREAM
    whole = b"".join(map(event, range(1, EVENTS + 1))) if streams else BODY
    async with pausing_site(route, pause_at, pausing, slots) as site:
        answers = await site.call_all(CALLERS, streams=streams)
        for view in site.gateway.directory.usable(SERVICE):
            # An attempt ends shortly after its caller has the end of the answer.
            await wait_until(partial(is_idle, view))
            assert view.own_prefill_tokens == 0
    if not route.repeatable:
        assert max(site.runs.values()) == 1
    assert max(site.runs.values()) <= route.max_attempts
    wrong = Counter(
        f"{answer.status} {answer.body[:60]!r}" for answer in answers if answer != (200, whole)
    )
    return ", ".join(f"{count} with {status}" for status, count in wrong.items())


@pytest.mark.parametrize("pausing", [1, ENDPOINTS])
class TestPausingEndpoints:
    """Guards against requests that end early because their endpoint sent nothing for a second.

    All requests of a silent endpoint found a retry left in the budget and gave up their answers
    at the same time; those that did not get the retry or a place ended with 502 or a cut stream.
    """

    @pytest.mark.parametrize("slots", [CALLERS, 64])
    async def test_idempotent_calls(self, pausing: int, slots: int) -> None:
        await self._require_whole_answers(IDEMPOTENT, pausing, slots)

    async def test_once_only_calls(self, pausing: int) -> None:
        await self._require_whole_answers(ONCE, pausing)

    @pytest.mark.parametrize("slots", [CALLERS, 64])
    async def test_resumable_streams(self, pausing: int, slots: int) -> None:
        await self._require_whole_answers(RESUMABLE, pausing, slots)

    async def test_streams_that_cannot_be_resumed(self, pausing: int) -> None:
        await self._require_whole_answers(NOT_RESUMABLE, pausing)

    async def _require_whole_answers(self, route: Route, pausing: int, slots: int = 64) -> None:
        """Require whole answers wherever the endpoints fall silent."""
        places = STREAM_PAUSES if route.kind is CallKind.STREAM else PLAIN_PAUSES
        cases = [count_incomplete(route, at, pausing, slots) for at in places.values()]
        found = dict(zip(places, await asyncio.gather(*cases), strict=True))
        assert {place: wrong for place, wrong in found.items() if wrong} == {}


class TestBegunAnswers:
    """Guards against running a request again while its answer only pauses.

    The second run takes a retry from the budget, which a call at a crashed endpoint then lacks.
    """

    @pytest.mark.parametrize("place", ["between events", "inside an event", "before the end"])
    async def test_stream_that_pauses_is_not_resumed_elsewhere(self, place: str) -> None:
        async with pausing_site(
            RESUMABLE, STREAM_PAUSES[place], pausing=ENDPOINTS, pause_s=1.2
        ) as site:
            answers = await site.call_all(CALLERS, streams=True)
        assert {answer.status for answer in answers} == {200}
        assert set(site.runs.values()) == {1}

    @pytest.mark.parametrize("place", ["after the head", "in the body"])
    async def test_plain_answer_that_pauses_is_not_requested_again(self, place: str) -> None:
        async with pausing_site(IDEMPOTENT, PLAIN_PAUSES[place], pausing=ENDPOINTS) as site:
            answers = await site.call_all(CALLERS, streams=False)
        assert answers == [(200, BODY)] * CALLERS
        assert set(site.runs.values()) == {1}


@pytest.mark.parametrize("fault", [Fault.REFUSE, Fault.RESET, Fault.UNREACHABLE])
class TestReturnToPausingEndpoint:
    """Guards against 502 for a request that left a silent endpoint for one that gives no answer.

    The silent endpoint goes on, so that the request can still be answered there.
    """

    @pytest.mark.parametrize("place", ["before the head", "in the body"])
    async def test_idempotent_calls(self, fault: Fault, place: str) -> None:
        await self._require_whole_answers(IDEMPOTENT, PLAIN_PAUSES[place], fault, BODY)

    @pytest.mark.parametrize("place", ["before the first event", "inside an event"])
    async def test_resumable_streams(self, fault: Fault, place: str) -> None:
        whole = b"".join(map(event, range(1, EVENTS + 1)))
        await self._require_whole_answers(RESUMABLE, STREAM_PAUSES[place], fault, whole)

    async def _require_whole_answers(
        self, route: Route, pause_at: int, fault: Fault, whole: bytes
    ) -> None:
        """Require whole answers of the silent endpoint, as the other one gives none."""
        async with pausing_site(route, pause_at, pausing=1, retry_ratio=2.0) as site:
            site.endpoints[1].fault = fault
            if fault is Fault.UNREACHABLE:
                await site.endpoints[1].close()
            answers = await site.call_all(4, streams=route.kind is CallKind.STREAM)
        assert answers == [(200, whole)] * 4


class TestChangesDuringAPause:
    """Guards against wrong ends of a request whose retry is no longer permitted as it is sent."""

    async def test_request_runs_once_after_its_route_became_once_only(self) -> None:
        """A new configuration forbids the retry that was reserved under the old one."""
        async with pausing_site(IDEMPOTENT, PLAIN_PAUSES["before the head"], ENDPOINTS) as site:
            call = asyncio.create_task(site.call_all(1, streams=False))
            await wait_until(lambda: bool(site.runs))
            site.gateway.configuration.set_catalog(make_catalog(2, ONCE))
            await call
        assert list(site.runs.values()) == [1]

    async def test_retry_is_sent_although_the_time_left_ended_meanwhile(self) -> None:
        """The connection to the other endpoint takes until a new request would be refused."""
        async with pausing_site(
            IDEMPOTENT, PLAIN_PAUSES["before the head"], pausing=0, pause_s=0.0
        ) as site:
            await site.call_all(1, streams=False)
            for endpoint in site.endpoints:
                endpoint.pause_s = 5.0
            acquire = site.gateway.pool.acquire
            targets: list[object] = []

            async def acquire_late(*args: Any, **kwargs: Any) -> Any:
                targets.append(args[0])
                if len(targets) == 2:
                    for endpoint in site.endpoints:
                        endpoint.pause_s = 0.0
                    await asyncio.sleep(0.15)
                return await acquire(*args, **kwargs)

            site.gateway.pool.acquire = acquire_late  # type: ignore[method-assign]
            call = asyncio.create_task(site.call_all(1, streams=False))
            await asyncio.sleep(0.05)
            site.gateway.drain(0.6)
            assert await call == [(200, BODY)]
