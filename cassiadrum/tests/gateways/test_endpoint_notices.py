"""Tests of notices in answers of endpoints: leaving, and pauses by Retry-After."""

import asyncio
import time
from typing import NamedTuple

import pytest

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.headers import Header
from cassiadrum.platform.standins import StoreFault
from cassiadrum.protocols import HttpRequest
from cassiadrum.tests.gateways.makers import make_catalog, make_entry
from cassiadrum.tests.gateways.sites import DRAIN_S, Caller, PlatformSite, poll_until

# Without Content-Length, so the answer ends when the connection closes.
ANSWER_WITHOUT_LENGTH = (
    f"HTTP/1.1 200 OK\r\n{Header.REQUEST_ID}: own\r\n{Header.SIGNATURE}: signed-by-p-1\r\n"
    f"{Header.LEAVING}: 1\r\n\r\nwhole"
).encode()


class Answer(NamedTuple):
    """Status and body of an answer; the body names the endpoint."""

    status: int
    body: bytes


async def call_repeatedly(caller: Caller, count: int) -> list[Answer]:
    """Return the answers to a number of idempotent calls."""
    found = []
    for _ in range(count):
        status, _, body = await caller.call("/safe/a")
        found.append(Answer(status, body))
    return found


async def call_until_answered_by(caller: Caller, endpoint: bytes) -> None:
    """Send calls until this endpoint has answered one of them."""

    async def answered() -> bool:
        return (await caller.call("/safe/a"))[2] == endpoint

    await poll_until(answered)


class TestNamesOnTheWire:
    """Guards against a notice whose name differs from the platform's.

    The other tests take the names from the code that reads them.
    """

    def test_notices_are_read_by_their_names(self) -> None:
        headers = (
            ("x-cassiadrum-request-id", "r-1"),
            ("x-cassiadrum-not-executed", "1"),
            ("x-cassiadrum-response-signature", "s"),
            ("x-cassiadrum-instance-load", "3,1,8"),
            ("retry-after", "1.5"),
            ("server-leaving", "1"),
            ("server-limit", "20"),
            ("keep-alive", "timeout=4"),
            ("content-type", "text/event-stream; charset=utf-8"),
        )
        head = PlatformProtocol().decode_head(503, headers)
        assert (head.request_id, head.not_run, head.signed) == ("r-1", True, True)
        assert head.load == (3, 1, 8)
        assert (head.pause_s, head.leaving, head.idle_s) == (1.5, True, 4.0)
        assert head.limit == ("20", 20.0)
        assert head.media_type == "text/event-stream"

    def test_request_is_read_and_written_by_the_names(self) -> None:
        lines = (
            ("host", "a.example:80"),
            ("x-cassiadrum-request-id", "r-1"),
            ("x-cassiadrum-timeout-ms", "1500"),
            ("x-api-key", "k"),
            ("x-cassiadrum-token-counts", "30,8"),
            ("x-cassiadrum-prompt-prefix", "aa:20,bb:10"),
            ("last-event-id", "12"),
        )
        protocol = PlatformProtocol()
        call = protocol.decode_call(HttpRequest("POST", "/a", lines, b""))
        assert (call.request_id, call.timeout_s, call.key) == ("r-1", 1.5, "k")
        assert (call.prompt_tokens, call.max_output_tokens, call.last_event_id) == (30, 8, "12")
        assert call.prompt == (("aa", 20), ("bb", 10))
        sent = protocol.encode_call(
            call,
            make_entry("i-1"),
            customer="St. Märten",
            priority=2,
            timeout_s=1.2,
            last_event_id="15",
        )
        assert {
            ("x-cassiadrum-target-instance", "i-1"),
            ("x-cassiadrum-timeout-ms", "1200"),
            ("x-cassiadrum-request-priority", "2"),
            ("x-cassiadrum-tenant", "St. Märten".encode().decode("latin-1")),
            ("last-event-id", "15"),
        } <= set(sent)
        assert "x-api-key" not in dict(sent)


@pytest.mark.integration
class TestLeavingEndpoints:
    """Guards against requests to an endpoint that has announced in an answer that it is leaving.

    The registration in the store may be outdated or unreachable, so the notice counts until the
    next incarnation of the endpoint.
    """

    async def test_leaving_endpoint_gets_nothing_during_a_store_outage(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.store.fault = StoreFault.SILENT
        site.endpoints["p-1"].leaving = True
        await call_until_answered_by(caller, b"p-1")
        assert set(await call_repeatedly(caller, 8)) == {Answer(200, b"p-2")}

    async def test_next_incarnation_is_used(self, site: PlatformSite, caller: Caller) -> None:
        site.endpoints["p-1"].leaving = True
        await call_until_answered_by(caller, b"p-1")
        site.endpoints["p-1"].leaving = False
        site.endpoints["p-1"].born = 2
        site.register("p-1")
        await call_until_answered_by(caller, b"p-1")

    async def test_repeated_registration_does_not_end_leaving(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.endpoints["p-1"].leaving = True
        await call_until_answered_by(caller, b"p-1")
        site.register("p-1")
        await asyncio.sleep(DRAIN_S)
        assert set(await call_repeatedly(caller, 8)) == {Answer(200, b"p-2")}

    async def test_notice_of_another_instance_at_the_address_is_ignored(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against a notice of one instance that is applied to another at its address."""
        site.store.remove("servers", "p-2")
        await asyncio.sleep(DRAIN_S)
        site.endpoints["p-1"].instance = "p-9"
        site.endpoints["p-1"].leaving = True
        assert (await call_repeatedly(caller, 1))[0].status == 503
        site.endpoints["p-1"].instance = "p-1"
        site.endpoints["p-1"].leaving = False
        assert (await call_repeatedly(caller, 1))[0] == Answer(200, b"p-1")

    async def test_notice_in_an_answer_without_content_length(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER_WITHOUT_LENGTH)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        site.store.remove("servers", "p-2")
        site.endpoints["p-1"].address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        site.register("p-1")

        async def answered() -> bool:
            return (await caller.call("/safe/a", request_id="own"))[2] == b"whole"

        async with server:
            await poll_until(answered)
            status, _, body = await caller.call("/safe/a", request_id="own")
        assert status == 503
        assert b"no_endpoint" in body


@pytest.mark.integration
class TestPauses:
    """Guards against requests to an endpoint that has asked for a pause by Retry-After.

    Requests go to other endpoints, wait for the end of a short pause, or are refused at once with
    the time until the first pause ends.
    """

    async def test_paused_endpoint_gets_nothing(self, site: PlatformSite, caller: Caller) -> None:
        paused = site.endpoints["p-1"]
        paused.refuse, paused.retry_after = True, "1.5"

        async def refused() -> bool:
            await caller.call("/safe/a")
            return paused.refused > 0

        await poll_until(refused)
        refused_s = time.monotonic()
        while time.monotonic() < refused_s + 1.3:
            assert (await caller.call("/safe/a"))[2] == b"p-2"
            await asyncio.sleep(0.02)
        assert paused.refused == 1
        paused.refuse = False
        await call_until_answered_by(caller, b"p-1")
        assert time.monotonic() > refused_s + 1.4

    @pytest.mark.parametrize("retry_after", ["2.5", "1000000000"])
    async def test_retry_after_is_the_end_of_the_shortest_pause(
        self, site: PlatformSite, caller: Caller, retry_after: str
    ) -> None:
        for name, seconds in (("p-1", retry_after), ("p-2", "2000000000")):
            site.endpoints[name].refuse = True
            site.endpoints[name].retry_after = seconds
        async with asyncio.timeout(1.0):
            await caller.call("/safe/a")
            status, headers, _ = await caller.call("/safe/a")
        assert status == 503
        assert float(retry_after) - 1.0 < float(headers["retry-after"]) <= float(retry_after)
        assert [site.endpoints[name].refused for name in ("p-1", "p-2")] == [1, 1]

    async def test_request_waits_for_the_end_of_a_short_pause(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].refuse = True
            site.endpoints[name].retry_after = "0.4"
        await caller.call("/safe/a")
        for name in ("p-1", "p-2"):
            site.endpoints[name].refuse = False
        assert (await caller.call("/safe/a"))[0] == 200


class TestNoticeDecoding:
    """Guards against a malformed notice that is taken for a valid one, and the reverse.

    The headers stand here as on the wire, so that a wrong constant fails.
    """

    @pytest.mark.parametrize(
        ("text", "pause_s"),
        [
            ("0.25", 0.25),
            ("3", 3.0),
            ("1e9", 1e9),
            ("", None),
            ("0", None),
            ("-4", None),
            ("nan", None),
            ("inf", None),
            ("soon", None),
            ("Wed, 21 Oct 2015 07:28:00 GMT", None),
        ],
    )
    def test_pause(self, text: str, pause_s: float | None) -> None:
        head = PlatformProtocol().decode_head(503, (("retry-after", text),))
        assert head.pause_s == pause_s

    def test_retry_after_of_another_status_is_no_pause(self) -> None:
        assert PlatformProtocol().decode_head(429, ((Header.RETRY_AFTER, "3"),)).pause_s is None

    @pytest.mark.parametrize(("text", "leaving"), [("1", True), ("0", False), ("", False)])
    def test_leaving(self, text: str, leaving: bool) -> None:
        assert PlatformProtocol().decode_head(200, (("server-leaving", text),)).leaving is leaving


class TestIncarnationState:
    """Guards against a leaving or pause notice that is applied to the next incarnation."""

    def make(self) -> Gateway:
        cfg = GatewaySettings("a", 0.2, 1.0, 10.0, 4.75, True, 2.0)
        gateway = Gateway(cfg, PlatformProtocol(), lambda: 1.0, lambda: 1.0)
        gateway.configuration.set_catalog(make_catalog())
        gateway.directory.replace([make_entry("i-0")], 1.0)
        return gateway

    def test_leaving_and_pause_end_with_the_incarnation(self) -> None:
        directory = self.make().directory
        view = directory.usable("drafts")[0]
        view.mark_leaving()
        view.mark_paused(1.0, 60.0)
        assert not directory.usable("drafts")
        directory.put(make_entry("i-0", started_ms=2))
        assert directory.usable("drafts")[0].paused_until_s == 0.0

    def test_pause_outlasts_an_expired_registration(self) -> None:
        """The store removes a registration that is renewed late; the endpoint writes it again."""
        directory = self.make().directory
        directory.usable("drafts")[0].mark_paused(1.0, 60.0)
        directory.remove("i-0", 10.0)
        assert not directory.usable("drafts")
        directory.put(make_entry("i-0"))
        assert directory.usable("drafts")[0].paused_until_s == 61.0

    def test_longest_pause_applies(self) -> None:
        view = self.make().directory.usable("drafts")[0]
        view.mark_paused(1.0, 60.0)
        view.mark_paused(2.0, 0.5)
        assert view.paused_until_s == 61.0
