"""Tests of streams through a whole site while links and processes fail."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind
from cassiadrum.protocols import Exchange, HttpClient, HttpResponse, HttpServer
from cassiadrum.roles import build_daemon
from cassiadrum.settings import parse_settings
from cassiadrum.sites import LocalSite, SiteEndpoint
from cassiadrum.standins import answer_tokens
from cassiadrum.stores import HttpInstanceList, Instance

EXAMPLES = Path(__file__).parents[2] / "examples"
PROMPT = "the long bell of the north tower"
LIMIT_S = 20.0


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110 - the state is spread over several tasks
            await asyncio.sleep(0.01)


def answer_text(body: bytes) -> str:
    deltas = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    return "".join(json.loads(delta)["choices"][0]["delta"]["content"] for delta in deltas)


class Caller:
    """A caller that reads a streamed answer; `body` grows while it arrives."""

    def __init__(self, site: LocalSite, entry: int = 0) -> None:
        host, _, port = site.entry_address(entry).rpartition(":")
        self.client = HttpClient(host, int(port))
        self.body = bytearray()
        self.answer_id = ""
        self.failed = False

    async def send(self) -> None:
        body = json.dumps({"prompt": PROMPT, "stream": True}).encode()
        target = "/services/sprachdienst/v1/completions"
        await self.read(await self.client.request("POST", target, (), body))

    async def read(self, response: HttpResponse) -> None:
        self.answer_id = dict(response.headers).get("x-request-id", "")
        try:
            async for data in response.body:
                self.body += data
        except Exception:
            self.failed = True

    def assert_complete(self) -> None:
        assert answer_text(bytes(self.body)) == "".join(answer_tokens(PROMPT))
        assert self.body.count(b"[DONE]") == 1
        assert b"event: error" not in self.body


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    text = (EXAMPLES / "sprachdienst.toml").read_text()
    # The retry budget is a share of the accepted requests; the first request needs a full retry.
    text = text.replace("retry_budget = 0.1", "retry_budget = 1.0")
    site = LocalSite([text], entries=2, step_s=0.03)
    await site.start()
    yield site
    await site.drain()
    await site.close()


def serving_endpoint(site: LocalSite) -> SiteEndpoint:
    return next(endpoint for endpoint in site.endpoints if endpoint.sidecar.status()["in_flight"])


async def kill_first_entry(site: LocalSite) -> None:
    """Stop the first entry instance without notice to its sidecars."""
    entry = site.entries.pop(0)
    await entry._cancel_tasks()
    await entry._members.close()  # type: ignore[attr-defined]
    await entry.close()


async def restart_sidecar(site: LocalSite, endpoint: SiteEndpoint) -> None:
    """Stop a sidecar and start another with the same name at another address."""
    await endpoint.sidecar.close()
    cfg = endpoint.sidecar._cfg  # type: ignore[attr-defined]
    settings = (
        f'role = "sidecar"\ninstance = "{cfg.instance}"\nzone = "{cfg.zone}"\n'
        f"{site._platform_table}"
        f'[endpoint]\nservice = "{endpoint.service}"\nkind = "engine"\n'
        f'address = "{cfg.endpoint.address}"\n'
    )
    sidecar = build_daemon(parse_settings(settings))
    await sidecar.start()
    site.endpoints[site.endpoints.index(endpoint)] = endpoint._replace(sidecar=sidecar)
    instance_list = site._instance_list
    assert isinstance(instance_list, HttpInstanceList)
    addresses = sidecar.addresses
    await instance_list.register(
        Instance(
            cfg.instance,
            "sidecar",
            endpoint.service,
            cfg.zone,
            addresses["link"],
            addresses["admin"],
        )
    )


class EndlessAnswer:
    """An endpoint whose answer ends only when the caller leaves; `sent` counts its bytes."""

    def __init__(self) -> None:
        self.sent = 0
        self.server = HttpServer(self.answer)

    async def answer(self, exchange: Exchange) -> None:
        if exchange.req.method == "GET":
            await exchange.send_json(200, {})
            return
        await exchange.send_head(200, (("content-type", "application/octet-stream"),))
        while not exchange.disconnected.is_set():
            await exchange.send_data(bytes(65536))
            self.sent += 65536


class TestSlowCaller:
    """Guards against an answer that accumulates in memory while its caller does not read.

    Flow control has to reach from the caller's socket through the entry instance and the sidecar
    to the endpoint.
    """

    async def test_stalled_caller_stops_the_endpoint(self) -> None:
        text = (EXAMPLES / "permit-register.toml").read_text()
        site = LocalSite([text.replace("endpoints = 3", "endpoints = 1")], entries=1)
        await site.start()
        (site_endpoint,) = site.endpoints
        endpoint = EndlessAnswer()
        port = await endpoint.server.start("127.0.0.1", 0)
        await site_endpoint.standin.close()
        sidecar = site_endpoint.sidecar._sidecar  # type: ignore[attr-defined]
        sidecar._endpoint._client._port = port
        host, _, entry_port = site.entry_address().rpartition(":")
        _reader, writer = await asyncio.open_connection(host, int(entry_port), limit=1024)
        body = b"POST /services/permit-register/permits HTTP/1.1\r\nhost: a\r\n"
        writer.write(body + b"idempotency-key: k\r\ncontent-length: 2\r\n\r\n{}")
        try:
            # Nothing is read from here on.
            await wait_until(lambda: any(s.buffer.full for s in sidecar.streams.values()))
            before = -1
            while endpoint.sent != before:
                before = endpoint.sent
                await asyncio.sleep(0.5)
            (stream,) = sidecar.streams.values()
            assert stream.buffer.end - stream.buffer._acked <= 2 * LIMITS.STREAM_BUFFER_BYTES
            pending = site.entries[0]._router.pending.values()  # type: ignore[attr-defined]
            (queue,) = [request.caller_events for request in pending]
            buffered_bytes = sum(len(getattr(event, "data", b"")) for event in queue._queue)
            assert buffered_bytes <= 2 * LIMITS.STREAM_BUFFER_BYTES
        finally:
            writer.transport.abort()
            await endpoint.server.abort()
            await site.drain()
            await site.close()


class TestSiteStreams:
    """Guards against answers that are truncated, repeated or lost when a link or process fails.

    A link is reset, an entry instance is killed or a sidecar is restarted in mid-stream. The
    caller gets the rest on the same connection, or fetches it by the request id from another
    entry instance.
    """

    async def test_caller_does_not_notice_a_reset_link(self, site: LocalSite) -> None:
        caller = Caller(site)
        sending = asyncio.create_task(caller.send())
        await wait_until(lambda: len(caller.body) > 300)
        for link in list(serving_endpoint(site).sidecar._sidecar.links.values()):  # type: ignore[attr-defined]
            link.abort()
        await sending
        caller.assert_complete()
        kinds = {event.kind for event in site.entries[0].ring.read_after(0, 10_000)}
        assert EventKind.REATTACHED in kinds

    async def test_rest_is_fetched_through_another_entry_instance(self, site: LocalSite) -> None:
        caller = Caller(site)
        sending = asyncio.create_task(caller.send())
        await wait_until(lambda: len(caller.body) > 300)
        await kill_first_entry(site)
        await sending
        assert caller.failed
        second = Caller(site)
        target = f"/requests/{caller.answer_id}?position={len(caller.body)}"
        await second.read(await second.client.request("GET", target))
        caller.body += second.body
        caller.assert_complete()

    async def test_fetch_continues_over_a_new_link_and_can_be_repeated(
        self, site: LocalSite
    ) -> None:
        caller = Caller(site)
        sending = asyncio.create_task(caller.send())
        await wait_until(lambda: len(caller.body) > 200)
        await kill_first_entry(site)
        await sending
        endpoint = serving_endpoint(site)
        second = Caller(site)
        target = f"/requests/{caller.answer_id}?position={len(caller.body)}"
        reading = asyncio.create_task(second.read(await second.client.request("GET", target)))
        await wait_until(lambda: len(second.body) > 200)
        # The caller leaves; the answer is kept for its next fetch.
        reading.cancel()
        await asyncio.wait([reading])
        caller.body += second.body
        third = Caller(site)
        target = f"/requests/{caller.answer_id}?position={len(caller.body)}"
        async with asyncio.timeout(LIMIT_S):
            # Refused until the entry instance has noticed that the caller left.
            while (response := await third.client.request("GET", target)).status != 200:
                await response.read()
        reading = asyncio.create_task(third.read(response))
        await wait_until(lambda: len(third.body) > 200)
        for link in list(endpoint.sidecar._sidecar.links.values()):  # type: ignore[attr-defined]
            link.abort()
        await reading
        caller.body += third.body
        caller.assert_complete()

    async def test_sidecar_restarted_under_its_name_is_used_again(self, site: LocalSite) -> None:
        caller = Caller(site)
        sending = asyncio.create_task(caller.send())
        await wait_until(lambda: len(caller.body) > 300)
        endpoint = serving_endpoint(site)
        await restart_sidecar(site, endpoint)
        await sending
        # Another engine continued the answer after the delivered text.
        caller.assert_complete()
        names = sorted(endpoint.instance for endpoint in site.endpoints)
        await wait_until(lambda: all(sorted(e.status()["links"]) == names for e in site.entries))

    async def test_rest_is_fetched_from_outside_the_subset(self) -> None:
        text = (EXAMPLES / "sprachdienst.toml").read_text()
        site = LocalSite([text], entries=2, step_s=0.03, subset_size=1)
        await site.start()
        try:
            caller = Caller(site)
            sending = asyncio.create_task(caller.send())
            await wait_until(lambda: len(caller.body) > 300)
            await kill_first_entry(site)
            await sending
            name = caller.answer_id.rpartition("@")[2]
            assert name not in site.entries[0].status()["links"]
            second = Caller(site)
            target = f"/requests/{caller.answer_id}?position={len(caller.body)}"
            await second.read(await second.client.request("GET", target))
            caller.body += second.body
            caller.assert_complete()
            assert name not in site.entries[0].status()["links"]
        finally:
            await site.drain()
            await site.close()
