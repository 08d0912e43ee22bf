"""Tests of the graceful shutdown of entry instances and sidecars."""

import asyncio
import json
import logging
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from cassiadrum.daemon import EXIT_DRAIN_LIMIT, _on_signal, drain
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind
from cassiadrum.invariants import check_record
from cassiadrum.protocols import HttpClient
from cassiadrum.roles import Daemon
from cassiadrum.roles.daemons import REFUSAL_DELIVERY_TIMEOUT_S
from cassiadrum.sites import LocalSite
from cassiadrum.standins import Faults

EXAMPLES = Path(__file__).parents[2] / "examples"
WAIT_LIMIT_S = 30.0
STREAM_TARGET = "/services/sprachdienst/v1/completions"
PERMIT_TARGET = "/services/permit-register/permits"


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():  # noqa: ASYNC110 - the state is spread over several tasks
            await asyncio.sleep(0.01)


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    names = ("sprachdienst", "permit-register")
    site = LocalSite(
        [(EXAMPLES / f"{name}.toml").read_text() for name in names], entries=2, step_s=0.03
    )
    await site.start()
    yield site
    site.table_service.set_faults(Faults())
    await site.drain()
    await site.close()


async def send(site: LocalSite, target: str, entry: int = 0) -> tuple[int, bytes]:
    host, _, port = site.entry_address(entry).rpartition(":")
    headers = (("idempotency-key", "k1"), ("x-customer", "c"))
    body = json.dumps({"prompt": "toll", "stream": True}).encode()
    response = await HttpClient(host, int(port)).request("POST", target, headers, body)
    return response.status, await response.read()


async def start_stream(site: LocalSite) -> "asyncio.Task[tuple[int, bytes]]":
    task = asyncio.create_task(send(site, STREAM_TARGET))
    await until(lambda: bool(busy_sidecars(site)))
    return task


def busy_sidecars(site: LocalSite) -> list[Daemon]:
    return [endpoint.sidecar for endpoint in site.endpoints if endpoint.sidecar.in_flight()]


def cut_links(sidecar: Daemon) -> None:
    for link in list(sidecar._sidecar.links.values()):  # type: ignore[attr-defined]
        link.abort()


def silence_links(sidecar: Daemon) -> None:
    """Stop reading from all links, as if a middlebox had silently dropped the connections."""
    for link in sidecar._sidecar.links.values():  # type: ignore[attr-defined]
        link._conn.transport.pause_reading()


async def stop(daemon: Daemon) -> None:
    """Wait until a daemon is drained, and close it, as its process does."""
    assert await drain(daemon, WAIT_LIMIT_S) == 0
    await daemon.close()


class TestGracefulShutdown:
    """Guards against a planned stop that interrupts requests or never ends.

    Links may break or fall silent and the table service may be down while a process drains, and
    some requests outlast the drain limit.
    """

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    @pytest.mark.parametrize("fault", ["none", "reattach", "silent", "store"])
    async def test_planned_stop_completes_running_requests(
        self, site: LocalSite, role: str, fault: str
    ) -> None:
        caller = await start_stream(site)
        (sidecar,) = busy_sidecars(site)
        daemon = site.entries[0] if role == "entry" else sidecar
        if fault == "store":
            site.table_service.set_faults(Faults(down=True))
        if fault == "reattach":
            cut_links(sidecar)
        if fault == "silent":
            silence_links(sidecar)
        daemon.begin_drain()
        assert await drain(daemon, WAIT_LIMIT_S) == 0
        status, body = await caller
        assert status == 200 and b"[DONE]" in body and b"event: error" not in body
        await daemon.close()
        site.table_service.set_faults(Faults())
        await site.drain()
        assert check_record(site.record([])) == []

    async def test_draining_entry_instance_refuses_as_not_run(self, site: LocalSite) -> None:
        caller = await start_stream(site)
        site.entries[0].begin_drain()
        status, body = await send(site, STREAM_TARGET)
        assert (status, json.loads(body)["ran"]) == (503, "no")
        assert (await caller)[0] == 200

    async def test_refusal_closes_the_connection(self, site: LocalSite) -> None:
        """Guards against callers that keep sending to an instance that stops."""
        caller = await start_stream(site)
        site.entries[0].begin_drain()
        host, _, port = site.entry_address().rpartition(":")
        response = await HttpClient(host, int(port)).request("POST", STREAM_TARGET)
        await response.read()
        assert dict(response.headers)["connection"] == "close"
        assert (await caller)[0] == 200

    async def test_request_that_arrives_at_the_stop_is_refused(self, site: LocalSite) -> None:
        """Guards against a reset in place of an answer to a request that has begun to arrive."""
        host, _, port = site.entry_address().rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST {STREAM_TARGET} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n"
        writer.write(head.encode())
        # The server has read the head when it has answered another connection.
        await HttpClient(host, int(port)).request("GET", "/healthz")
        daemon = site.entries[0]
        daemon.begin_drain()
        stopping = asyncio.create_task(stop(daemon))
        # Longer than the interval at which the daemon looks whether it may stop.
        await asyncio.sleep(0.2)
        writer.write(b"{}")
        answer = await reader.read()
        await stopping
        writer.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert b'"reason": "draining"' in answer and b'"ran": "no"' in answer

    async def test_request_that_stops_arriving_does_not_delay_the_stop(
        self, site: LocalSite
    ) -> None:
        host, _, port = site.entry_address().rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST ")
        daemon = site.entries[0]
        daemon.begin_drain()
        async with asyncio.timeout(REFUSAL_DELIVERY_TIMEOUT_S + 3.0):
            await stop(daemon)
        writer.close()

    async def test_sidecar_stays_until_entry_instances_stop_sending(self, site: LocalSite) -> None:
        sidecar = site.endpoints[0].sidecar
        sidecar.begin_drain()
        began = asyncio.get_running_loop().time()
        assert await drain(sidecar, WAIT_LIMIT_S) == 0
        assert asyncio.get_running_loop().time() - began >= LIMITS.LEAVING_LIMIT_S

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    async def test_drain_limit_ends_the_remaining_requests(
        self, site: LocalSite, role: str
    ) -> None:
        for endpoint in site.endpoints:
            if endpoint.service == "permit-register":
                endpoint.standin._service_s = 60.0  # type: ignore[union-attr]
        caller = asyncio.create_task(send(site, PERMIT_TARGET))
        await until(lambda: bool(busy_sidecars(site)))
        daemon = site.entries[0] if role == "entry" else busy_sidecars(site)[0]
        daemon.begin_drain()
        assert await drain(daemon, 0.3) == EXIT_DRAIN_LIMIT
        status, body = await caller
        problem = json.loads(body)
        assert (status, problem["reason"], problem["ran"]) == (503, "draining", "unknown")
        kinds = [event.kind for event in daemon.ring.read_after(0, 10_000)]
        assert EventKind.DRAIN_LIMIT_REACHED in kinds
        # Ends the uncancellable call, so that the rest of the site can stop.
        for endpoint in site.endpoints:
            await endpoint.standin.close()

    async def test_queued_request_has_not_run_at_the_drain_limit(self, site: LocalSite) -> None:
        """Guards against a refusal that keeps its caller from sending the request again."""
        entry = site.entries[0]
        for endpoint in site.endpoints:
            if endpoint.service == "permit-register":
                endpoint.sidecar.begin_drain()
                await drain(endpoint.sidecar, WAIT_LIMIT_S)
        caller = asyncio.create_task(send(site, PERMIT_TARGET))
        await until(lambda: entry.in_flight() == 1)
        entry.begin_drain()
        assert await drain(entry, 0.3) == EXIT_DRAIN_LIMIT
        status, body = await caller
        problem = json.loads(body)
        assert (status, problem["reason"], problem["ran"]) == (503, "draining", "no")

    async def test_second_signal_logs_the_requests_in_flight(
        self, site: LocalSite, caplog: pytest.LogCaptureFixture
    ) -> None:
        caller = await start_stream(site)
        (sidecar,) = busy_sidecars(site)
        stopping = asyncio.Event()
        with caplog.at_level(logging.INFO):
            for daemon in (site.entries[0], sidecar):
                stopping.clear()
                _on_signal(daemon, stopping)
                _on_signal(daemon, stopping)
        lines = [line for line in caplog.messages if line.startswith("still waiting for 1")]
        assert len(lines) == 2 and all("sprachdienst/assessment" in line for line in lines)
        assert (await caller)[0] == 200
