"""Tests of a gateway process that stops while requests arrive, wait and run."""

import asyncio
import contextlib
import json
import signal
import time
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import pytest

from cassiadrum.platform.headers import Header
from cassiadrum.platform.processes import ACCEPT_AFTER_SIGTERM_S
from cassiadrum.platform.standins import StoreFault
from cassiadrum.protocols import AnswerLost, Exchange, HttpServer
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    GRACE_S,
    HOST,
    Caller,
    PlatformSite,
    make_configuration,
    wait_until,
    write_settings,
)

pytestmark = pytest.mark.integration

# Longer than the grace time, so that no request ends at its deadline.
TIMEOUT_MS = 20_000
PATHS = ("/once/a", "/safe/a", "/stream/a")
PLAIN_ENDPOINTS = ("p-1", "p-2")


class WholeAnswer(NamedTuple):
    """An answer that arrived completely."""

    status: int
    headers: dict[str, str]
    body: dict[str, str]

    @property
    def is_refusal(self) -> bool:
        """Return whether the caller is told to send the request elsewhere at once."""
        ran, close = self.body.get("ran"), self.headers.get("connection")
        return (self.status, ran, close) == (503, "no", "close") and "retry-after" in self.headers


def encode_request(path: str, request_id: str, events: int = 0) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"host: {HOST}",
        "content-length: 2",
        f"{Header.REQUEST_ID}: {request_id}",
        f"{Header.API_KEY}: key-1",
    ]
    if events:
        lines.append(f"{Header.TOKENS}: 100,{events}")
    return "\r\n".join([*lines, "", "{}"]).encode()


async def read_answer(reader: asyncio.StreamReader) -> WholeAnswer:
    """Return an answer with a content-length; raise IncompleteReadError if it is truncated."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in head)}
    body = await reader.readexactly(int(headers["content-length"]))
    try:
        fields = json.loads(body)
    except ValueError:
        fields = {}
    return WholeAnswer(int(head[0].split()[1]), headers, fields)


async def call_long(caller: Caller, path: str, request_id: str, events: int = 0) -> WholeAnswer:
    """Send a request with a deadline after the end of the grace time."""
    status, headers, body = await caller.call(
        path, request_id=request_id, events=events, x_cassiadrum_timeout_ms=str(TIMEOUT_MS)
    )
    try:
        fields = json.loads(body)
    except ValueError:
        fields = {}
    return WholeAnswer(status, headers, fields)


@contextlib.asynccontextmanager
async def open_connection(
    gateway: GatewaySubprocess,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
    try:
        yield reader, writer
    finally:
        writer.close()


@pytest.fixture(autouse=True)
def long_configuration(site: PlatformSite) -> dict[str, Any]:
    """Return the configuration in force, whose timeouts and targets exceed the grace time."""
    configuration = make_configuration(2)
    for route in configuration["routes"]:
        route.update(timeout_ms=TIMEOUT_MS, goal_ms=TIMEOUT_MS)
    site.store.put("op", "config", configuration)
    return configuration


class TestLateRequests:
    """Guards against passing on a request that the rest of the grace time cannot answer.

    Such requests were cut without an answer at the end of the grace time, once-only ones too.
    """

    @pytest.mark.parametrize("path", PATHS)
    async def test_last_byte_late_in_the_grace_time(
        self, site: PlatformSite, gateway: GatewaySubprocess, path: str
    ) -> None:
        """The first bytes come while the process still accepts requests."""
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].hang = True
        await gateway.wait_ready()
        data = encode_request(path, "late", events=1000 if path == "/stream/a" else 0)
        async with open_connection(gateway) as (reader, writer):
            gateway.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S - 1.2)
            writer.write(data[:-1])
            await asyncio.sleep(2.2)
            writer.write(data[-1:])
            async with asyncio.timeout(1.0):
                answer = await read_answer(reader)
        assert answer.is_refusal, answer
        assert answer.body["reason"] == "draining"
        assert site.runs("late") == 0

    async def test_kept_connection(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].answer_delay_s = 2.0
        await call_long(caller, "/once/a", "first")
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S - 1.2)
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].hang = True
        async with asyncio.timeout(1.0):
            answer = await call_long(caller, "/once/a", "late")
        assert answer.is_refusal, answer
        assert site.runs("late") == 0

    async def test_short_call_is_served(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        """Guards against refusing all requests, however short, from SIGTERM on."""
        await call_long(caller, "/once/a", "first")
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.wait_ready(ready=False, limit_s=1.0)
        answer = await call_long(caller, "/once/a", "short")
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert site.runs("short") == 1

    async def test_queued_request_is_refused_when_the_rest_no_longer_suffices(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].answer_delay_s = 0.5
        await call_long(caller, "/once/a", "first")
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].hang = True
        others = [Caller(gateway.calls_port) for _ in range(16)]
        running = [
            asyncio.create_task(call_long(other, "/safe/a", f"r-{number}"))
            for number, other in enumerate(others)
        ]
        await wait_until(lambda: sum(site.endpoints[x].running for x in PLAIN_ENDPOINTS) == 16)
        queued = asyncio.create_task(call_long(caller, "/once/a", "queued"))
        await asyncio.sleep(0.2)
        assert not queued.done()
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S - 1.0):
            answer = await queued
        assert answer.is_refusal, answer
        assert site.runs("queued") == 0
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        for other in others:
            other.close()

    async def test_failed_request_is_not_retried(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        """The caller gets the failure of the endpoint, not a second run that is cut."""
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].answer_delay_s = 3.0
            site.endpoints[name].fail = True
        task = asyncio.create_task(call_long(caller, "/safe/a", "failed"))
        await wait_until(lambda: site.runs("failed") == 1)
        gateway.process.send_signal(signal.SIGTERM)
        answer = await task
        assert answer.status == 500
        assert site.runs("failed") == 1


class TestEndOfGraceTime:
    """Guards against requests that are cut without an answer when the grace time ends."""

    @pytest.mark.parametrize("path", PATHS[:2])
    async def test_running_call_gets_a_failure(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller, path: str
    ) -> None:
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].hang = True
        task = asyncio.create_task(call_long(caller, path, "running"))
        await wait_until(lambda: site.runs("running") == 1)
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            answer = await task
            assert await gateway.process.wait() == 0
        assert answer.status == 502
        assert answer.body == {"reason": "draining", "ran": "unknown"}
        lines = [json.loads(line) for line in gateway.log.read_text().splitlines()]
        (ended,) = [line for line in lines if line.get("outcome") == "grace time ended: failed"]
        assert ended["request_id"] == "running"

    async def test_silent_stream_gets_a_failure(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        for name in ("e-1", "e-2"):
            site.endpoints[name].hang = True
        task = asyncio.create_task(call_long(caller, "/stream/a", "silent", events=10))
        await wait_until(lambda: site.runs("silent") >= 1)
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            answer = await task
        assert (answer.status, answer.body["ran"]) == (502, "unknown")

    async def test_started_stream_does_not_look_complete(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        task = asyncio.create_task(call_long(caller, "/stream/a", "long", events=2000))
        await wait_until(lambda: site.runs("long") == 1)
        gateway.process.send_signal(signal.SIGTERM)
        with pytest.raises(AnswerLost):
            await task
        async with asyncio.timeout(1.0):
            assert await gateway.process.wait() == 0


class TestConnectionsDuringTheStop:
    """Guards against requests that are read and dropped because their connection closes."""

    async def test_pipelined_request_is_answered(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        """The second request waits behind the first one, whose answer would announce the close."""
        await call_long(caller, "/once/a", "first")
        for name in PLAIN_ENDPOINTS:
            site.endpoints[name].answer_delay_s = 0.5
        async with open_connection(gateway) as (reader, writer):
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.wait_ready(ready=False, limit_s=1.0)
            writer.write(encode_request("/once/a", "one") + encode_request("/once/a", "two"))
            async with asyncio.timeout(GRACE_S):
                answers = [await read_answer(reader) for _ in range(2)]
                assert await reader.read() == b""
        for answer, request_id in zip(answers, ("one", "two"), strict=True):
            assert site.runs(request_id) == (answer.status == 200)
            assert answer.status == 200 or answer.body["ran"] == "no"
        assert "connection" not in answers[0].headers
        assert answers[1].headers["connection"] == "close"

    async def test_connection_at_the_close_is_answered_or_runs_nothing(self) -> None:
        """Connections are opened while the server closes its listener; none is left open."""
        handled: list[str] = []
        answered: list[str] = []

        async def handle(exchange: Exchange) -> None:
            handled.append(exchange.req.target)
            await exchange.send(200, b"", "text/plain")

        async def call(number: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(encode_request(f"/{number}", f"r-{number}"))
                await read_answer(reader)
                answered.append(f"/{number}")
                writer.close()

        for turns in range(12):
            server = HttpServer(handle)
            port = await server.start("127.0.0.1", 0)
            calls = [asyncio.create_task(call(number)) for number in range(20)]
            for _ in range(turns):
                await asyncio.sleep(0)
            async with asyncio.timeout(5.0):
                await server.close()
                await asyncio.gather(*calls)
            assert sorted(handled) == sorted(answered)
            handled.clear()
            answered.clear()


class TestSignalsDuringTheStop:
    """Guards against signals, changed settings and a silent store that disturb a planned stop."""

    async def test_stream_completes(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        """The stream runs beyond the time for which the process still accepts requests."""
        events = round((ACCEPT_AFTER_SIGTERM_S + 1.2) / 0.01)
        headers = {"x_cassiadrum_timeout_ms": str(TIMEOUT_MS)}
        task = asyncio.create_task(
            caller.call("/stream/a", events=events, request_id="long", **headers)
        )
        await wait_until(lambda: site.runs("long") == 1)
        started_s = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        site.store.fault = StoreFault.SILENT
        await gateway.wait_ready(ready=False, limit_s=1.0)
        settings = json.loads(gateway.settings_path.read_text())
        settings["bounds"]["retry_budget_slack"] = 100
        write_settings(gateway.settings_path, settings)
        gateway.process.send_signal(signal.SIGHUP)
        gateway.process.send_signal(signal.SIGTERM)
        status, _, body = await task
        assert (status, body.count(b"id: ")) == (200, events)
        async with asyncio.timeout(GRACE_S - (time.monotonic() - started_s)):
            assert await gateway.process.wait() == 0
