"""Tests of answers that are large for the link that they arrive over."""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.commands.admin_clients import AdminClient
from cassiadrum.endpoints import EndpointLoad, EngineEndpoint
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.protocols import Exchange, Handler, HttpClient, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.stores import StoreTransport, StoreUnavailable
from cassiadrum.tests.gateways.makers import make_view
from cassiadrum.tests.gateways.slow_links import LinkProxy, SlowLink

# Arrives in 4 s over the link, longer than each call waits for its answer to begin.
LARGE_BYTES = 1_000_000
MBPS = 2.0
TRANSPORT_TIMEOUT_S = 0.5


def padded(answer: dict[str, object], size: int) -> bytes:
    """Return a JSON object with the fields of an answer and about `size` bytes."""
    return json.dumps({**answer, "padding": "x" * size}).encode()


@contextlib.asynccontextmanager
async def serving(handler: Handler, mbps: float = MBPS) -> AsyncIterator[int]:
    """Serve a handler behind a slow link and return the port."""
    server = HttpServer(handler)
    proxy = LinkProxy(await server.start("127.0.0.1", 0), SlowLink(mbps))
    yield await proxy.start()
    await proxy.close()
    await server.abort()


def answering(body: bytes) -> Handler:
    async def answer(exchange: Exchange) -> None:
        await exchange.send(200, body, "application/json")

    return answer


class TestLargeAnswersOverSlowLinks:
    """Guards against calls that are given up midway because their answer has grown."""

    async def test_store_of_the_sidecars(self) -> None:
        async with serving(answering(b"x" * LARGE_BYTES)) as port:
            client = HttpClient("127.0.0.1", port)
            transport = StoreTransport(client, time.monotonic, timeout_s=TRANSPORT_TIMEOUT_S)
            assert len((await transport.read("/rows")).body) == LARGE_BYTES
            client.close()

    async def test_store_of_the_sidecars_that_stalls(self) -> None:
        async def stall(exchange: Exchange) -> None:
            await exchange.send_head(200, (("content-length", str(LARGE_BYTES)),))
            await exchange.send_data(b"x" * 100_000)
            await exchange.disconnected.wait()

        async with serving(stall, 100.0) as port:
            client = HttpClient("127.0.0.1", port)
            transport = StoreTransport(client, time.monotonic, timeout_s=TRANSPORT_TIMEOUT_S)
            start_s = time.monotonic()
            with pytest.raises(StoreUnavailable):
                await transport.read("/rows")
            assert time.monotonic() - start_s < 3 * TRANSPORT_TIMEOUT_S
            client.close()

    async def test_load_probe(self) -> None:
        """A report lists the running requests, so it grows with the load."""
        report = padded({"running": 3, "waiting": 2, "seq": 1}, 200_000)
        async with serving(answering(report)) as port:
            view = make_view("i-0", address=Address("127.0.0.1", port))
            prober = LoadProber(
                ConnectionPool(), PlatformProtocol(), time.monotonic, lambda _: None
            )
            assert await prober.probe(view)

    async def test_load_report_of_an_engine(self) -> None:
        load = EndpointLoad()._asdict()
        async with serving(answering(padded(load, LARGE_BYTES))) as port:
            endpoint = EngineEndpoint("127.0.0.1", port)
            async with asyncio.timeout(10.0):
                assert isinstance(await endpoint.load(), EndpointLoad)

    async def test_admin_interface(self) -> None:
        async with serving(answering(padded({}, LARGE_BYTES))) as port:
            found = await AdminClient(f"127.0.0.1:{port}").get("/events")
            assert len(str(found["padding"])) == LARGE_BYTES
