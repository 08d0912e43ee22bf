"""Tests of a gateway process with callers, endpoints and the store of the platform."""

import asyncio
import contextlib
import json
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from cassiadrum.platform.fleet_registrations import RESTART_S
from cassiadrum.platform.headers import Header
from cassiadrum.platform.processes import ACCEPT_AFTER_SIGTERM_S
from cassiadrum.platform.standins import StoreFault
from cassiadrum.protocols import AnswerLost, HttpClient
from cassiadrum.tests.gateways.conftest import GatewaySubprocess, free_port
from cassiadrum.tests.gateways.sites import (
    DRAIN_S,
    GRACE_S,
    Caller,
    PlatformSite,
    make_configuration,
    make_settings,
    poll_until,
    wait_until,
    write_settings,
)

pytestmark = pytest.mark.integration


def event_ids(body: bytes) -> list[int]:
    return [int(line[4:]) for line in body.decode().splitlines() if line.startswith("id: ")]


def raw_answer(request_id: str, *, signed: bool = True) -> bytes:
    """Return the bytes of a successful answer."""
    body = f"answer to {request_id}".encode()
    head = f"HTTP/1.1 200 OK\r\n{Header.REQUEST_ID}: {request_id}\r\n"
    head += f"{Header.SIGNATURE}: signed-by-p-1\r\n" if signed else ""
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


@contextlib.asynccontextmanager
async def raw_endpoint(site: PlatformSite, answer: bytes) -> AsyncIterator[None]:
    """Replace all plain endpoints with one that sends fixed bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    site.store.remove("servers", "p-2")
    site.endpoints["p-1"].address = f"127.0.0.1:{port}"
    site.register("p-1")
    async with server:
        yield


class TestRequestForwarding:
    """Guards against altered requests and answers, and against control headers from callers.

    A caller could otherwise act as another customer or instruct the endpoint.
    """

    async def test_plain_answer_is_that_of_the_endpoint(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        status, headers, body = await caller.call("/once/a?b=c", request_id="one")
        assert status == 200
        assert headers[Header.SIGNATURE] == f"signed-by-{body.decode()}"
        run = site.endpoints[body.decode()].runs[0]
        assert (run.target, run.body) == ("/once/a?b=c", b"{}")
        assert run.headers[Header.CUSTOMER] == "st-martin"
        assert run.headers[Header.TARGET_INSTANCE] == body.decode()
        assert int(run.headers[Header.TIMEOUT]) <= 3000
        assert Header.API_KEY not in run.headers

    async def test_callers_own_control_headers_are_dropped(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        _, _, body = await caller.call(
            "/once/a", x_cassiadrum_hold="h", kv_from="x", x_cassiadrum_tenant="other"
        )
        headers = site.endpoints[body.decode()].runs[0].headers
        assert not {"x-cassiadrum-hold", "kv-from"} & headers.keys()
        assert headers[Header.CUSTOMER] == "st-martin"

    async def test_stream_is_complete(self, caller: Caller) -> None:
        status, _, body = await caller.call("/stream/a", events=20)
        assert status == 200
        assert event_ids(body) == list(range(1, 21))

    async def test_header_beyond_ascii_is_passed_on(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against an answer that is lost after its request has run."""
        name = 'attachment; filename="\xdcbersicht.txt"'
        answer = raw_answer("own").replace(
            b"content-length", f"content-disposition: {name}\r\ncontent-length".encode("latin-1")
        )
        async with raw_endpoint(site, answer):

            async def registration_read() -> bool:
                status, headers, _ = await caller.call("/once/a", request_id="own")
                return status == 200 and headers.get("content-disposition") == name

            await poll_until(registration_read)

    async def test_unknown_route_and_key(self, caller: Caller) -> None:
        assert (await caller.call("/nowhere/a"))[0] == 404
        assert (await caller.call("/safe/a", key="other"))[0] == 401

    async def test_declared_length_over_the_limit_is_refused_at_once(
        self, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
        writer.write(b"POST /once/a HTTP/1.1\r\nhost: a\r\ncontent-length: 10001\r\n\r\n")
        async with asyncio.timeout(2.0):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 413")
        assert b"connection: close" in answer.lower()
        writer.close()

    async def test_refusal_does_not_quote_the_request_line(
        self, gateway: GatewaySubprocess
    ) -> None:
        """Guards against a refusal that exposes the exception text of the parser to the caller."""
        await gateway.wait_ready()
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.calls_port)
        writer.write(b"GET /once/a b HTTP/1.1 x\r\n\r\n")
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b"bytearray" not in answer
        assert b"/once/a b" not in answer


class TestFailedAttempts:
    """Guards against a second run of a once-only request, and against refusals that are wrong.

    Endpoints refuse, fail, cut connections, answer late or unsigned, or have been replaced by
    another instance at their address. A request is retried elsewhere only if it is known not to
    have run or may run again.
    """

    async def test_broken_stream_is_resumed_at_another_endpoint(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        _, headers, _ = await caller.call("/stream/a", events=1)
        first = headers[Header.SIGNATURE].removeprefix("signed-by-")
        site.endpoints[first].cut_after = 5
        status, headers, body = await caller.call("/stream/a", events=8, request_id="cut")
        assert (status, event_ids(body)) == (200, list(range(1, 9)))
        assert headers[Header.SIGNATURE] == f"signed-by-{first}"
        assert site.runs("cut") == 2

    async def test_request_that_ran_is_not_refused_as_not_run(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """The retry finds the other endpoint full until its wait ends."""
        site.store.remove("servers", "p-1")
        site.endpoints["p-2"].hang = True
        await asyncio.sleep(DRAIN_S)
        others = [Caller(gateway.calls_port) for _ in range(8)]
        calls = [asyncio.create_task(other.call("/once/a")) for other in others]
        await wait_until(lambda: site.endpoints["p-2"].running == 8)
        site.endpoints["p-1"].fail = True
        site.register("p-1")
        await asyncio.sleep(DRAIN_S)
        status, _, body = await caller.call("/safe/a", request_id="failed")
        assert site.runs("failed") == 1
        assert status == 502, body
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        for other in others:
            other.close()

    async def test_once_only_request_with_a_lost_answer_is_not_repeated(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].hang = True
        task = asyncio.create_task(caller.call("/once/a", request_id="lost"))
        await wait_until(lambda: site.runs("lost") == 1)
        for name in ("p-1", "p-2"):
            await site.endpoints[name].close()
        status, headers, _ = await task
        assert status == 502
        assert "retry-after" not in headers
        assert site.runs("lost") == 1

    async def test_request_refused_as_not_run_has_not_run(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].refuse = True
        status, headers, _ = await caller.call("/once/a", request_id="no")
        assert status == 503
        assert float(headers["retry-after"]) >= 0.0
        assert site.runs("no") == 0

    async def test_refused_request_is_tried_elsewhere(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.endpoints["p-1"].refuse = True
        answers = [await caller.call("/once/a", request_id=f"e-{n}") for n in range(6)]
        assert [status for status, _, _ in answers] == [200] * 6
        assert all(site.runs(f"e-{n}") == 1 for n in range(6))

    async def test_late_answer_to_another_request_is_skipped(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against passing the late answer to an earlier request on a reused connection."""
        bodies: set[bytes] = set()

        async def taken() -> bool:
            bodies.add((await caller.call("/safe/a", request_id="own"))[2])
            return b"answer to own" in bodies

        async with raw_endpoint(site, raw_answer("earlier") + raw_answer("own")):
            await poll_until(taken, 3.0)
        assert b"answer to earlier" not in bodies

    async def test_unsigned_success_is_not_passed_on(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against a successful answer that did not come from an endpoint."""
        async with raw_endpoint(site, raw_answer("own", signed=False)):

            async def taken() -> bool:
                status, _, body = await caller.call("/safe/a", request_id="own")
                assert body != b"answer to own"
                return status == 502

            await poll_until(taken, 3.0)

    async def test_error_of_the_endpoint_is_passed_on(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].fail = True
        status, headers, _ = await caller.call("/safe/a", request_id="f")
        assert status == 500
        assert headers[Header.SIGNATURE].startswith("signed-by-")
        assert site.runs("f") == 2

    async def test_other_instance_at_a_reused_address_runs_nothing(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.endpoints["p-1"].instance = "p-9"
        answers = [await caller.call("/once/a", request_id=f"a-{n}") for n in range(6)]
        assert {body for _, _, body in answers} == {b"p-2"}
        assert not site.endpoints["p-1"].runs

    async def test_misdirected_attempt_does_not_count(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        configuration = make_configuration(2)
        for route in configuration["routes"]:
            route["max_attempts"] = 1
        site.store.put("op", "config", configuration)
        await asyncio.sleep(0.3)
        site.endpoints["p-1"].instance = "p-9"
        answers = [await caller.call("/once/a", request_id=f"a-{n}") for n in range(6)]
        assert [status for status, _, _ in answers] == [200] * 6

    async def test_unreachable_service_is_refused_at_once(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            await site.endpoints[name].close()
        async with asyncio.timeout(1.5):
            status, headers, body = await caller.call("/once/a")
        assert (status, "retry-after" in headers) == (503, True)
        assert json.loads(body)["ran"] == "no"

    async def test_request_without_an_id_is_denied(self, gateway: GatewaySubprocess) -> None:
        await gateway.wait_ready()
        client = HttpClient("127.0.0.1", gateway.calls_port)
        response = await client.request("GET", "/safe/a")
        await response.read()
        client.close()
        assert response.status == 400


class TestCallerLeaves:
    """Guards against an endpoint that keeps generating a stream after its caller has left."""

    async def test_stream_stops_at_the_endpoint(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        task = asyncio.create_task(caller.call("/stream/a", events=500, request_id="left"))
        await wait_until(lambda: site.runs("left") == 1)
        task.cancel()
        stopped = [site.endpoints[name].stopped for name in ("e-1", "e-2")]
        await wait_until(lambda: any("left" in found for found in stopped), limit_s=0.5)


class TestConfiguration:
    """Guards against a configuration that takes effect late or is replaced by an older one.

    The store may be unreachable at the start, or contain an older or unreadable configuration.
    """

    async def test_process_without_a_configuration_refuses(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        site.store.remove("op", "config")
        site.store.fault = StoreFault.BUSY
        await gateway.kill()
        await gateway.start()
        caller = Caller(gateway.calls_port)
        await gateway.wait_listening()
        status, _, _ = await caller.call("/safe/a", key="other")
        assert status == 503
        assert not await gateway.is_ready()

    async def test_revoked_key_is_denied(self, site: PlatformSite, caller: Caller) -> None:
        site.store.put("op", "config", make_configuration(2, tenants=[]))
        other = [{"name": "st-martin", "api_keys": ["key-2"]}]
        site.store.put("op", "config", make_configuration(3, tenants=other))

        async def denied() -> bool:
            return (await caller.call("/safe/a"))[0] == 401

        await poll_until(denied, 1.0)
        assert (await caller.call("/safe/a", key="key-2"))[0] == 200

    async def test_older_and_unreadable_configurations_are_ignored(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.store.put("op", "config", make_configuration(5))
        site.store.put("op", "config", make_configuration(4, tenants=[], routes=[]))
        site.store.put("op", "config", b"\xff not json")
        await asyncio.sleep(0.3)
        assert (await caller.call("/safe/a"))[0] == 200


class TestStoreFaults:
    """Guards against store faults that affect callers, and against keys served unconfirmed.

    The store falls silent, loses its history of changes or contains unreadable registrations.
    """

    async def test_unconfirmed_keys_are_refused_until_the_store_returns(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        site.store.fault = StoreFault.SILENT
        assert (await caller.call("/safe/a"))[0] == 200
        await gateway.wait_ready(ready=False, limit_s=6.0)
        status, headers, _ = await caller.call("/safe/a")
        assert (status, "retry-after" in headers) == (503, True)
        site.store.fault = StoreFault.NONE
        await gateway.wait_ready(limit_s=4.0)
        assert (await caller.call("/safe/a"))[0] == 200

    async def test_tables_are_read_in_full_after_lost_history(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        site.store.fault = StoreFault.RESET
        await asyncio.sleep(0.2)
        other = [{"name": "st-martin", "api_keys": ["key-2"]}]
        site.store.put("op", "config", make_configuration(2, tenants=other))
        site.store.remove("servers", "p-1")
        site.store.drop_history()
        site.store.fault = StoreFault.NONE

        async def changed() -> bool:
            return (await caller.call("/safe/a", key="key-2"))[0] == 200

        await poll_until(changed, 5.0)
        # A registration that is missing after an outage is kept for a grace period of 2 s.
        await asyncio.sleep(2.3)
        answers = [await caller.call("/safe/a", key="key-2") for _ in range(6)]
        assert {body for _, _, body in answers} == {b"p-2"}

    async def test_leaving_endpoint_gets_nothing(self, site: PlatformSite, caller: Caller) -> None:
        site.register("p-1", state="draining")
        await asyncio.sleep(DRAIN_S)
        answers = [await caller.call("/safe/a") for _ in range(6)]
        assert {body for _, _, body in answers} == {b"p-2"}

    async def test_unreadable_registrations_are_ignored(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        site.store.put("servers", "bad-1", b"\x00\x01")
        site.store.put("servers", "bad-2", {"service": "plain", "address": 7})
        site.store.put("servers", "p-1", {"service": "plain", "state": "unheard of"})
        await asyncio.sleep(DRAIN_S)
        answers = [await caller.call("/safe/a") for _ in range(6)]
        assert {(status, body) for status, _, body in answers} == {(200, b"p-2")}


class TestPlannedStop:
    """Guards against a planned stop that cuts off requests or never ends.

    A stream still runs, or a connection is idle, when the process gets SIGTERM. An answer that is
    truncated must not look complete.
    """

    async def test_running_stream_completes_and_the_process_exits(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        task = asyncio.create_task(caller.call("/stream/a", events=250, request_id="long"))
        await wait_until(lambda: site.runs("long") == 1)
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.wait_ready(ready=False, limit_s=1.0)
        late = Caller(gateway.calls_port)
        status, headers, _ = await late.call("/safe/a")
        assert (status, headers["connection"]) == (200, "close")
        _, _, body = await task
        assert event_ids(body) == list(range(1, 251))
        async with asyncio.timeout(8.0):
            assert await gateway.process.wait() == 0

    async def test_stream_that_begins_during_the_stop_completes(
        self, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """The stream runs beyond the time for which the process still accepts requests."""
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S - 1.5)
        _, _, body = await caller.call("/stream/a", events=240)
        assert event_ids(body) == list(range(1, 241))

    async def test_registration_ends_soon_after_a_stop(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """Guards against a part of shared figures that stays with a machine gone for good."""

        def lifetime_s() -> float:
            (member,) = site.members()
            return member.expires_ms / 1000 - time.monotonic()

        assert lifetime_s() > GRACE_S + RESTART_S
        gateway.process.send_signal(signal.SIGTERM)
        await wait_until(lambda: lifetime_s() <= GRACE_S + RESTART_S)
        assert lifetime_s() > GRACE_S

    async def test_process_exits_despite_an_idle_connection(
        self, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        await caller.call("/safe/a")
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(8.0):
            assert await gateway.process.wait() == 0

    async def test_truncated_answer_does_not_look_complete(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("e-1", "e-2"):
            site.endpoints[name].cut_after = 3
        with pytest.raises(AnswerLost):
            await caller.call("/stream/a", events=10)


class TestColdStart:
    """Guards against refusals by a new process that waits for the first answer of the store.

    Load pattern: processes are killed and restarted while the store is slow. They refused all
    requests for 0.6 s, and the retries of their callers were refused again.
    """

    async def test_request_waits_for_the_first_configuration(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        await gateway.kill()
        site.store.slow_s = 0.4
        await gateway.start()
        await gateway.wait_listening()
        caller = Caller(gateway.calls_port)
        status, _, _ = await caller.call("/safe/a")
        caller.close()
        assert status == 200

    async def test_wait_is_bounded(self, site: PlatformSite, gateway: GatewaySubprocess) -> None:
        await gateway.wait_ready()
        await gateway.kill()
        site.store.fault = StoreFault.SILENT
        await gateway.start()
        await gateway.wait_listening()
        caller = Caller(gateway.calls_port)
        started_s = asyncio.get_running_loop().time()
        status, headers, _ = await caller.call("/safe/a")
        caller.close()
        assert (status, headers["connection"]) == (503, "close")
        assert 0.9 < asyncio.get_running_loop().time() - started_s < 2.0


class TestStartFailures:
    """Guards against a failed start that logs a traceback, which log collectors cannot parse."""

    async def test_occupied_address(self, site: PlatformSite, tmp_path: Path) -> None:
        path = tmp_path / "boot.json"
        write_settings(path, make_settings(site.store_port, site.store_port, free_port()))
        run = GatewaySubprocess(path, 0, 0, tmp_path / "gateway.log")
        await run.start()
        assert await run.process.wait() == 4
        lines = [json.loads(row) for row in run.log.read_text().splitlines()]
        (line,) = [line for line in lines if line["level"] == "ERROR"]
        assert f"cannot listen at 127.0.0.1:{site.store_port}" in line["message"]


class TestMetrics:
    """Guards against missing metrics of answers, endpoints and the configuration."""

    async def test_answers_endpoints_and_version_are_exported(
        self, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        await caller.call("/safe/a")
        await caller.call("/safe/a", key="other")
        client = HttpClient("127.0.0.1", gateway.metrics_port)
        text = (await (await client.request("GET", "/metrics")).read()).decode()
        client.close()
        assert 'cassiadrum_gateway_answers_total{outcome="answered",service="plain"} 1' in text
        assert 'cassiadrum_gateway_answers_total{outcome="denied",service=""} 1' in text
        assert 'cassiadrum_gateway_endpoints{service="engine"} 2' in text
        assert "cassiadrum_gateway_configuration_version 1" in text
