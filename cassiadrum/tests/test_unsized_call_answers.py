"""Tests of answers without a length whose endpoint ends with them, on the sidecar's way."""

import asyncio
import contextlib

import pytest

from cassiadrum.endpoints import EngineEndpoint, PlainEndpoint
from cassiadrum.tests.test_cut_call_answers import call_outcome

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"


class KilledEndpoint:
    """An address that accepts connections; only the first one gets an answer without a length.

    With `alive` the others get one as well.
    """

    def __init__(self, *, alive: bool) -> None:
        self._alive = alive
        self._connections = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._connections += 1
        is_first = self._connections == 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if not is_first and not self._alive:
                await reader.read()
            writer.write(HEAD + b"the first part")
            await writer.drain()
        writer.close()


@pytest.mark.integration
class TestUnsizedCallAnswers:
    """Guards against a part of an answer that a sidecar reports as complete.

    The kernel closes the listening socket of a process that was killed last, so that a connection
    that can be made does not show that the endpoint lives.
    """

    @pytest.mark.parametrize("kind", [PlainEndpoint, EngineEndpoint])
    @pytest.mark.parametrize("alive", [False, True])
    async def test_answer_is_whole_only_if_its_endpoint_lives(
        self, kind: type[PlainEndpoint | EngineEndpoint], *, alive: bool
    ) -> None:
        killed = KilledEndpoint(alive=alive)
        server = await asyncio.start_server(killed.accept, "127.0.0.1", 0)
        endpoint = kind("127.0.0.1", server.sockets[0].getsockname()[1])
        outcome = await call_outcome(endpoint)
        assert outcome.ok == alive
        endpoint.close()
        server.close()
