"""Tests of the silence limits of idle and active links."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from websockets.asyncio.server import serve

from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, LinkDialer, decode_messages, encode_message, links
from cassiadrum.links.messages import End, Hello, Ping, StartRequest

HELLO = Hello(1, "s", "sidecar", "z", "")
START = StartRequest(
    "r.1", "r", "svc", "all", 1, False, False, True, "c", 9.0, "GET", "/", [], b""
)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the intervals and limits to a twentieth of their defaults."""
    for name in ("HEARTBEAT_INTERVAL_S", "IDLE_HEARTBEAT_INTERVAL_S", "LINK_IDLE_AFTER_S"):
        monkeypatch.setattr(LIMITS, name, getattr(LIMITS, name) / 20)
    for name in ("SILENCE_LIMIT_S", "IDLE_SILENCE_LIMIT_S"):
        monkeypatch.setattr(LIMITS, name, getattr(LIMITS, name) / 20)
    monkeypatch.setattr(links, "WATCH_INTERVAL_S", 0.0125)
    monkeypatch.setattr(links, "IDLE_WATCH_INTERVAL_S", 0.05)


def make_link(conn: Any) -> Link:
    return Link(
        conn,
        HELLO,
        on_message=lambda link, msg: None,
        heartbeat_payload=lambda: ("digest", [1, 2]),
        on_heartbeat=lambda link, digest, clock: None,
    )


class Peer:
    """A server that sends a hello, records received frames and then sends only on demand."""

    def __init__(self) -> None:
        self.received: list[float] = []
        self.number = 0
        self.ended = asyncio.Event()
        self.conn: Any = None

    async def __call__(self, conn: Any) -> None:
        self.conn = conn
        await conn.send(encode_message(HELLO))
        try:
            async for frame in conn:
                self.received.append(time.monotonic())
                pings = [msg for msg in decode_messages(frame) if isinstance(msg, Ping)]
                self.number = pings[-1].number if pings else self.number
        finally:
            self.ended.set()


@pytest.fixture
async def pair() -> AsyncIterator[tuple[Peer, LinkDialer]]:
    peer = Peer()
    async with serve(peer, "127.0.0.1", 0, compression=None, ping_interval=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        dialer = LinkDialer(f"127.0.0.1:{port}", make_link, on_down=lambda link: None)
        dialer.start()
        async with asyncio.timeout(5.0):
            # The dialer does not signal the arrival of the hello, so its state is polled.
            while dialer.link is None or dialer.link.peer is None:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        yield peer, dialer
        await dialer.stop()


async def wait_until_idle(peer: Peer, link: Link) -> None:
    """Send heartbeats from the peer until the link is idle."""
    async with asyncio.timeout(10.0):
        while not link.idle:
            await peer.conn.send(encode_message(Ping(1, "digest", [1, 2], peer.number)))
            await asyncio.sleep(LIMITS.HEARTBEAT_INTERVAL_S / 2)


class TestIdleLink:
    """Guards against slow detection of a silent link that carries streams.

    An idle link has a longer silence limit, which must not apply once a stream starts on it.
    """

    async def test_idle_link_stays_open_beyond_the_short_limit(
        self, pair: tuple[Peer, LinkDialer]
    ) -> None:
        peer, dialer = pair
        assert dialer.link is not None
        await wait_until_idle(peer, dialer.link)
        since_s = time.monotonic()
        await peer.ended.wait()
        assert time.monotonic() - since_s > LIMITS.SILENCE_LIMIT_S * 1.5

    async def test_new_stream_restores_the_short_limit(
        self, pair: tuple[Peer, LinkDialer]
    ) -> None:
        peer, dialer = pair
        link = dialer.link
        assert link is not None
        await wait_until_idle(peer, link)
        since_s = time.monotonic()
        link.send(START)
        await peer.ended.wait()
        spent_s = time.monotonic() - since_s
        assert LIMITS.SILENCE_LIMIT_S * 0.9 < spent_s < LIMITS.IDLE_SILENCE_LIMIT_S

    async def test_link_with_a_stream_is_not_idle(self) -> None:
        now = 0.0
        link = Link(
            None,  # type: ignore[arg-type]
            HELLO,
            on_message=lambda link, msg: None,
            heartbeat_payload=lambda: ("", []),
            on_heartbeat=lambda link, digest, clock: None,
            clock=lambda: now,
        )
        assert not link.idle
        now = LIMITS.LINK_IDLE_AFTER_S
        assert link.idle
        link._encode(START)
        now += 100 * LIMITS.LINK_IDLE_AFTER_S
        assert not link.idle
        link._handle_message(HELLO)
        link._handle_message(End("r.1", True, "yes", 0, "", 0.0, 0))
        assert not link.idle
        now += LIMITS.LINK_IDLE_AFTER_S
        assert link.idle
