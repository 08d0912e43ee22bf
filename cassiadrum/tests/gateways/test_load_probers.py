"""Tests of load probes to endpoints."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_views import UNREACHABLE_BACKOFF_S, EndpointView
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.request_limits import LimitNotice
from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.protocols import Exchange, Headers, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.tests.gateways.makers import make_view


class LoadReportServer:
    """An endpoint that answers load probes and counts them."""

    def __init__(self) -> None:
        self.probes = 0
        self.body = b'{"running": 3, "waiting": 2, "seq": 1}'
        self.headers: Headers = ()
        self.server = HttpServer(self.handle)

    async def handle(self, exchange: Exchange) -> None:
        self.probes += 1
        await exchange.send(200, self.body, "application/json", self.headers)


@pytest.fixture
async def reporter() -> AsyncIterator[LoadReportServer]:
    reporter = LoadReportServer()
    yield reporter
    await reporter.server.abort()


class TestLoadProber:
    """Guards against overloading an endpoint whose load this gateway does not know.

    An unreadable report must not count as a sample, and an endpoint that answers probes must not
    count as silent.
    """

    def make(self, sampled: list[str]) -> LoadProber:
        return LoadProber(ConnectionPool(), PlatformProtocol(), time.monotonic, sampled.append)

    async def test_answer_is_recorded_as_a_sample(self, reporter: LoadReportServer) -> None:
        view = make_view(
            "i-0", address=Address("127.0.0.1", await reporter.server.start("127.0.0.1", 0))
        )
        sampled: list[str] = []
        prober = self.make(sampled)
        prober.probe_in_background(view)
        prober.probe_in_background(view)
        assert prober.is_probing(view)
        async with asyncio.timeout(2.0):
            while prober.is_probing(view):  # noqa: ASYNC110 - the prober sets no event
                await asyncio.sleep(0.01)
        now = time.monotonic()
        assert (view.waiting(now), view.outstanding(now)) == (2, 5)
        assert sampled == ["drafts"]
        prober.probe_in_background(view)
        assert reporter.probes == 1

    @pytest.mark.parametrize("body", [b"nonsense", b"{}"])
    async def test_unreadable_report_is_ignored(
        self, reporter: LoadReportServer, body: bytes
    ) -> None:
        reporter.body = body
        view = make_view(
            "i-0", address=Address("127.0.0.1", await reporter.server.start("127.0.0.1", 0))
        )
        assert not await self.make([]).probe(view)
        assert view.sample_age_ms(time.monotonic()) is None

    async def test_wait_continues_for_a_busy_endpoint_and_ends_for_a_dead_one(
        self, reporter: LoadReportServer
    ) -> None:
        port = await reporter.server.start("127.0.0.1", 0)
        view = make_view("i-0", address=Address("127.0.0.1", port))
        prober = self.make([])
        async with SilenceLimit(view, 0.05, 10.0, lambda: True, prober):
            await asyncio.sleep(0.3)
        assert reporter.probes > 0
        await reporter.server.abort()
        with pytest.raises(TimeoutError):
            async with SilenceLimit(view, 0.05, 10.0, lambda: True, prober):
                await asyncio.sleep(5.0)


class TestConcurrentProbes:
    """Guards against avoiding an endpoint for long since all its requests probed it at once.

    An endpoint that is silent for a second is sound and must get requests soon after.
    """

    async def test_unanswered_probe_of_many_requests_counts_once(self) -> None:
        probes: list[asyncio.StreamWriter] = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            probes.append(writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        view = make_view("i-0", address=Address("127.0.0.1", server.sockets[0].getsockname()[1]))
        prober = LoadProber(
            ConnectionPool(), PlatformProtocol(), time.monotonic, lambda service: None
        )
        async with server:
            assert not any(await asyncio.gather(*(prober.probe(view) for _ in range(16))))
        assert len(probes) == 1
        assert view.avoid_until_s <= time.monotonic() + UNREACHABLE_BACKOFF_S

    async def test_probe_goes_on_if_one_of_its_callers_leaves(
        self, reporter: LoadReportServer
    ) -> None:
        port = await reporter.server.start("127.0.0.1", 0)
        view = make_view("i-0", address=Address("127.0.0.1", port))
        prober = LoadProber(
            ConnectionPool(), PlatformProtocol(), time.monotonic, lambda service: None
        )
        left, stays = (asyncio.create_task(prober.probe(view)) for _ in range(2))
        await asyncio.sleep(0)
        left.cancel()
        assert await stays
        assert reporter.probes == 1


class TestProbesOfLimitedEndpoints:
    """Guards against load probes that do not count against an endpoint's request limit."""

    LIMIT_PER_S = 2.0

    async def make(self, reporter: LoadReportServer) -> tuple[EndpointView, LoadProber]:
        port = await reporter.server.start("127.0.0.1", 0)
        view = make_view("i-0", address=Address("127.0.0.1", port))
        prober = LoadProber(
            ConnectionPool(), PlatformProtocol(), time.monotonic, lambda service: None
        )
        return view, prober

    async def test_probe_uses_a_permitted_request(self, reporter: LoadReportServer) -> None:
        view, prober = await self.make(reporter)
        now = time.monotonic()
        view.request_limit.record_answer(LimitNotice("2", self.LIMIT_PER_S), now, now - 0.6)
        assert view.request_limit.wait_s(time.monotonic()) == 0.0
        assert await prober.probe(view)
        assert view.request_limit.wait_s(time.monotonic()) > 0.0

    async def test_report_states_a_limit(self, reporter: LoadReportServer) -> None:
        reporter.headers = (("server-limit", "2"),)
        view, prober = await self.make(reporter)
        assert await prober.probe(view)
        assert view.request_limit.rate_per_s == self.LIMIT_PER_S

    async def test_silent_stream_is_probed_within_the_limit(
        self, reporter: LoadReportServer
    ) -> None:
        view, prober = await self.make(reporter)
        now = time.monotonic()
        view.request_limit.record_answer(LimitNotice("2", self.LIMIT_PER_S), now, now)
        async with SilenceLimit(view, 0.02, 10.0, lambda: True, prober):
            await asyncio.sleep(2.0)
        assert 1 <= reporter.probes <= 2.0 * self.LIMIT_PER_S
