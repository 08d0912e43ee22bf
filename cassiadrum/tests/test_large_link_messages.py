"""Tests of links over connections that are slow for the size of a message."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
from websockets.asyncio.connection import Connection

from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, LinkDialer, LinkServer
from cassiadrum.links.messages import Hello, Message, StartRequest
from cassiadrum.tests.gateways.slow_links import LinkProxy, SlowLink

# Takes 6 s over the link, twice the silence limit.
LARGE_BYTES = 1_500_000
MBPS = 2.0
LIMIT_S = 20.0
START = StartRequest(
    "r.1", "r", "svc", "all", 1, False, False, True, "c", 9.0, "GET", "/", [], bytes(LARGE_BYTES)
)


class SlowPair:
    """A link server and a dialer that receives over a slow connection."""

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.ended: list[Link] = []
        self.server = LinkServer(self._make_link("sidecar"), on_down=self.ended.append)
        self.proxy: LinkProxy | None = None
        self.dialer: LinkDialer | None = None

    async def start(self) -> None:
        self.proxy = LinkProxy(await self.server.start("127.0.0.1", 0), SlowLink(MBPS))
        address = f"127.0.0.1:{await self.proxy.start()}"
        self.dialer = LinkDialer(address, self._make_link("entry"), on_down=self.ended.append)
        self.dialer.start()
        async with asyncio.timeout(LIMIT_S):
            while not any(link.peer for link in self.server.links):  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        assert self.dialer is not None
        assert self.proxy is not None
        await self.dialer.stop()
        await self.server.close()
        await self.proxy.close()

    def _make_link(self, name: str) -> Callable[[Connection], Link]:
        return lambda conn: Link(
            conn,
            Hello(1, name, name, "z", ""),
            on_message=lambda _, msg: self.received.append(msg),
            heartbeat_payload=lambda: ("", [1, 0]),
            on_heartbeat=lambda *_: None,
        )


@pytest.fixture
async def pair() -> AsyncIterator[SlowPair]:
    pair = SlowPair()
    await pair.start()
    yield pair
    await pair.close()


class TestLargeMessageOverSlowLink:
    """Guards against a link that is closed as silent while a large message arrives.

    The message held up the heartbeats of its direction, and was sent again on the next link.
    """

    async def test_message_arrives_and_the_link_stays(self, pair: SlowPair) -> None:
        next(iter(pair.server.links)).send(START)
        async with asyncio.timeout(LIMIT_S):
            while START not in pair.received:  # noqa: ASYNC110 - a plain list of messages
                await asyncio.sleep(0.05)
        assert not pair.ended

    async def test_transfer_that_stalls_ends_the_link(self, pair: SlowPair) -> None:
        assert pair.proxy is not None
        link = next(iter(pair.server.links))
        link.send(START)
        await asyncio.sleep(1.0)
        pair.proxy.stall()
        async with asyncio.timeout(LIMITS.SILENCE_LIMIT_S + 2 * LIMITS.HEARTBEAT_INTERVAL_S + 1.0):
            while link not in pair.ended:  # noqa: ASYNC110 - a plain list of ended links
                await asyncio.sleep(0.05)
