"""Tests of a gateway process whose peers send many small pieces, huge ones, or never stop."""

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.protocols import HttpClient
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import Caller, PlatformSite
from cassiadrum.tests.gateways.test_hostile_endpoints import (
    endless_tiny_chunks,
    faulty_endpoint,
    make_head,
    send_forever,
)

pytestmark = pytest.mark.integration

# A request that has no answer 0.5 s after its route's timeout counts as late; no delay of the
# event loop may use up that time.
MAX_DELAY_S = 0.5
MAX_ANSWER_S = 3.0 + MAX_DELAY_S
# Rates of the requests that have to be answered in time beside the disturbance.
LOOKUP_INTERVAL_S = 0.05
DISTURBANCE_S = 2.0
CONNECTIONS = 6
LOOP_DELAY = re.compile(rb"^cassiadrum_gateway_loop_delay_max_seconds (\S+)$", re.M)
NESTED = b"[" * 40_000


async def loop_delay_s(gateway: GatewaySubprocess) -> float:
    """Return the longest delay of the gateway's event loop since its start."""
    client = HttpClient("127.0.0.1", gateway.metrics_port)
    try:
        text = await (await client.request("GET", "/metrics")).read()
    finally:
        client.close()
    found = LOOP_DELAY.search(text)
    assert found is not None
    return float(found[1])


async def send_lookups(gateway: GatewaySubprocess, until_s: float) -> list[int]:
    """Send lookups and readiness checks until a time; return the statuses of the lookups."""
    caller = Caller(gateway.calls_port)
    statuses = []
    while time.monotonic() < until_s:
        async with asyncio.timeout(MAX_ANSWER_S):
            status, _, _ = await caller.call("/safe/a")
        statuses.append(status)
        assert await gateway.is_ready()
        await asyncio.sleep(LOOKUP_INTERVAL_S)
    caller.close()
    return statuses


@contextlib.asynccontextmanager
async def flood(port: int, head: bytes, piece: bytes) -> AsyncIterator[None]:
    """Send a head and then pieces without end over several connections, and read all answers."""

    async def send() -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(head)
                discard = asyncio.create_task(reader.read())
                try:
                    await send_forever(writer, piece)
                finally:
                    discard.cancel()
                    writer.transport.abort()

    tasks = [asyncio.create_task(send()) for _ in range(CONNECTIONS)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def assert_on_time(gateway: GatewaySubprocess) -> None:
    """Assert that lookups are answered during a disturbance and that no timer was late."""
    statuses = await send_lookups(gateway, time.monotonic() + DISTURBANCE_S)
    assert statuses
    assert set(statuses) == {200}
    assert await loop_delay_s(gateway) < MAX_DELAY_S


async def endless_short_header_lines(_: str, writer: asyncio.StreamWriter) -> None:
    await send_forever(writer, b"HTTP/1.1 102 X\r\n" + b"a:\r\n" * 4000 + b"\r\n")


async def endless_comments(request_id: str, writer: asyncio.StreamWriter) -> None:
    writer.write(make_head(request_id, "content-type: text/event-stream") + b"\r\n")
    await send_forever(writer, b":\n\n" * 20_000)


class TestHeldEventLoop:
    """Guards against a peer that keeps the gateway from serving anybody else.

    Reading does not suspend a task while received bytes are in memory. Pieces that each cost much
    more time than bytes, or bytes without end, then hold the event loop: other requests,
    readiness checks and timers wait.
    """

    @pytest.mark.parametrize(
        "serve",
        [endless_tiny_chunks, endless_short_header_lines, endless_comments],
        ids=lambda serve: serve.__name__,
    )
    async def test_endpoint_that_never_stops(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess, serve: object
    ) -> None:
        async with faulty_endpoint(site, "e-1", serve, removed="e-2"):  # type: ignore[arg-type]
            callers = [Caller(gateway.calls_port) for _ in range(CONNECTIONS)]
            streams = [asyncio.create_task(other.call("/stream/a", events=9)) for other in callers]
            await assert_on_time(gateway)
            await asyncio.gather(*streams, return_exceptions=True)

    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            (b"", b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n" * 500),
            (
                b"POST /safe/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
                b"1\r\nx\r\n" * 5000,
            ),
            (b"GET / HTTP/1.1\r\n", b"a:\r\n" * 3000 + b"\r\nGET / HTTP/1.1\r\n"),
        ],
        ids=["pipelined requests", "tiny chunks", "short header lines"],
    )
    async def test_caller_that_never_stops(
        self, caller: Caller, gateway: GatewaySubprocess, head: bytes, piece: bytes
    ) -> None:
        async with flood(gateway.calls_port, head, piece):
            await assert_on_time(gateway)

    async def test_readiness_check_that_never_stops(
        self, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        piece = b"GET /-/ready HTTP/1.1\r\nhost: a\r\n\r\n" * 500
        async with flood(gateway.ready_port, b"", piece):
            await assert_on_time(gateway)

    async def test_store_with_many_unreadable_rows(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        for number in range(400):
            site.store.put("servers", f"foreign-{number}", NESTED)
        await assert_on_time(gateway)
