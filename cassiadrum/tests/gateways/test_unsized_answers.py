"""Tests of answers without a length that end with their connection before they are whole."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from typing import Any

import pytest

from cassiadrum.platform.headers import Header
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    DRAIN_S,
    Caller,
    PlatformSite,
    make_open_configuration,
)
from cassiadrum.tests.gateways.test_hostile_endpoints import faulty_endpoint

PART = b"the first part"
# Larger than what the sockets of both sides buffer while nobody reads.
LONG_UPLOAD_BYTES = 3_500_000
# Fits into the buffers of the sockets.
SHORT_UPLOAD_BYTES = 60_000
CALLS = 6


class UnsizedEndpoint:
    """An endpoint whose answers have no length, and break off or end with their connection.

    With `alive` false, its address accepts connections and nobody answers there, as while the
    kernel closes the sockets of a process that was killed. With `reads` false it answers before
    it has read the body, and resets the connection `reset_s` after the end of the answer.
    """

    def __init__(self, *, alive: bool, reads: bool = True, reset_s: float = 0.0) -> None:
        self._alive = alive
        self._reads = reads
        self._reset_s = reset_s
        # Answers wait for this.
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.requested = asyncio.Event()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            if head.startswith("GET /-/report"):
                await self._report(reader, writer)
                return
            await self._answer(head, reader, writer)

    async def _report(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._alive:
            await reader.read()
        body = b'{"running":0,"waiting":0}'
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    async def _answer(
        self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
        if self._reads:
            await reader.readexactly(int(fields["content-length"]))
        else:
            # Pausing is not public: without it, the reader would take in some of the body.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.requested.set()
        await self.may_answer.wait()
        lines = (f"{Header.REQUEST_ID}: {fields[Header.REQUEST_ID]}", f"{Header.SIGNATURE}: s")
        writer.write("\r\n".join(("HTTP/1.1 200 OK", *lines, "", "")).encode() + PART)
        await writer.drain()
        if self._reads:
            writer.close()
            return
        writer.write_eof()
        await asyncio.sleep(self._reset_s)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


@contextlib.asynccontextmanager
async def unsized_endpoint(site: PlatformSite, endpoint: UnsizedEndpoint) -> AsyncIterator[None]:
    """Run the endpoint as the only one of the plain service."""
    server = await asyncio.start_server(endpoint.accept, "127.0.0.1", 0)
    site.store.remove("servers", "p-2")
    site.endpoints["p-1"].address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    site.store.put("op", "config", make_large_configuration())
    site.register("p-1")
    await asyncio.sleep(DRAIN_S)
    try:
        yield
    finally:
        server.close()


def make_large_configuration() -> dict[str, Any]:
    """Return a configuration that permits long uploads."""
    configuration = make_open_configuration(2)
    configuration["limits"]["max_body_bytes"] = 4_194_304
    return configuration


async def call(port: int, number: int, body_bytes: int) -> tuple[int, bool]:
    """Send a once-only call; return the status and whether the answer is complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        f"POST /once/a HTTP/1.1\r\nhost: 127.0.0.1\r\n{Header.REQUEST_ID}: u-{number}\r\n"
        f"{Header.TIMEOUT}: 3000\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
    writer.write(head.encode() + bytes(body_bytes))
    try:
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        size = int(answer.partition("content-length: ")[2].partition("\r\n")[0])
        await reader.readexactly(size)
        return int(answer.split()[1]), True
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, False
    finally:
        writer.close()


async def call_leaving(
    site: PlatformSite, port: int, endpoint: UnsizedEndpoint
) -> tuple[int, bool]:
    """Send a call to an endpoint that announces its end before it answers; return its result."""
    endpoint.may_answer.clear()
    task = asyncio.create_task(call(port, 0, 2))
    await endpoint.requested.wait()
    site.register("p-1", "draining")
    await asyncio.sleep(DRAIN_S)
    endpoint.may_answer.set()
    return await task


@pytest.mark.integration
class TestUnsizedAnswers:
    """Guards against a part of an answer that reaches the caller as a complete success.

    An answer without a length ends with its connection, and the kernel closes the connections of
    a process that was killed like those of one that has sent everything.
    """

    async def test_endpoint_is_killed_while_its_address_still_accepts(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        async with unsized_endpoint(site, UnsizedEndpoint(alive=False)):
            found = [await call(gateway.calls_port, number, 2) for number in range(CALLS)]
        assert found == [(502, True)] * CALLS

    async def test_endpoint_is_killed_after_it_announced_its_end(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        endpoint = UnsizedEndpoint(alive=False)
        async with unsized_endpoint(site, endpoint):
            assert await call_leaving(site, gateway.calls_port, endpoint) == (502, True)

    async def test_leaving_endpoint_that_lives_is_believed(
        self, site: PlatformSite, gateway: GatewaySubprocess
    ) -> None:
        await gateway.wait_ready()
        endpoint = UnsizedEndpoint(alive=True)
        async with unsized_endpoint(site, endpoint):
            assert await call_leaving(site, gateway.calls_port, endpoint) == (200, True)

    @pytest.mark.parametrize("body_bytes", [SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES])
    @pytest.mark.parametrize("reset_s", [0.0, 0.01, 0.03])
    async def test_reset_follows_the_end_while_the_upload_is_unread(
        self, site: PlatformSite, gateway: GatewaySubprocess, body_bytes: int, reset_s: float
    ) -> None:
        await gateway.wait_ready()
        endpoint = UnsizedEndpoint(alive=True, reads=False, reset_s=reset_s)
        async with unsized_endpoint(site, endpoint):
            found = [await call(gateway.calls_port, number, body_bytes) for number in range(CALLS)]
        assert (200, True) not in found

    @pytest.mark.parametrize("body_bytes", [2, SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES])
    async def test_whole_answer_is_passed_on(
        self, site: PlatformSite, gateway: GatewaySubprocess, body_bytes: int
    ) -> None:
        await gateway.wait_ready()
        async with unsized_endpoint(site, UnsizedEndpoint(alive=True)):
            found = [await call(gateway.calls_port, number, body_bytes) for number in range(CALLS)]
        assert found == [(200, True)] * CALLS


@pytest.mark.integration
class TestStatuses:
    """Guards against an answer with a status that no answer can have, which reaches the caller."""

    @pytest.mark.parametrize("status", ["000", "099", "1200", "20", "2x0"])
    async def test_answer_of_no_status_becomes_a_failure(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller, status: str
    ) -> None:
        async def serve(request_id: str, writer: asyncio.StreamWriter) -> None:
            lines = (f"{Header.REQUEST_ID}: {request_id}", f"{Header.SIGNATURE}: s")
            head = (f"HTTP/1.1 {status} X", *lines, "content-length: 2", "", "")
            writer.write("\r\n".join(head).encode() + b"ok")

        async with faulty_endpoint(site, "p-1", serve, removed="p-2"):
            found, headers, _ = await caller.call("/once/a")
        assert found == 502
        assert Header.SIGNATURE not in headers
