"""Tests of a link over a connection with faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, LinkDialer, LinkServer, decode_message, encode_message
from cassiadrum.links.data_merges import MAX_MERGED_BYTES, merge_data, split_data
from cassiadrum.links.messages import Cancel, Data, Hello, Message, Ping, Report

SILENCE_S = 0.6
LIMIT_S = 10.0


class FaultyProxy:
    """A TCP proxy that can drop all bytes of either direction of its first connection."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.swallow_up = self.swallow_down = False
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target)
        self._writers += [writer, upstream_writer]
        number = self.connections
        self._tasks += [
            asyncio.create_task(
                self._copy(reader, upstream_writer, lambda: self.swallow_up, number)
            ),
            asyncio.create_task(
                self._copy(upstream_reader, writer, lambda: self.swallow_down, number)
            ),
        ]

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drops: Callable[[], bool],
        number: int,
    ) -> None:
        try:
            while data := await reader.read(65536):
                # Only the first connection is faulty, as after a middlebox lost its state.
                if number > 1 or not drops():
                    writer.write(data)
        except ConnectionError:
            pass
        # A silent direction does not forward the end of the connection either.
        if number > 1 or not drops():
            writer.close()

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


class LinkPair:
    """A link server and a dialer with a faulty proxy in between."""

    def __init__(self) -> None:
        self.delivered: list[tuple[str, Message]] = []
        self.disconnects: list[str] = []
        self.observed_clocks: list[list[int]] = []
        self.server = LinkServer(
            self.link_factory("sidecar"), on_down=lambda _: self.disconnects.append("s")
        )
        self.fail_next_delivery = False

    async def start(self) -> None:
        self.faulty_proxy = FaultyProxy(await self.server.start("127.0.0.1", 0))
        address = f"127.0.0.1:{await self.faulty_proxy.start()}"
        self.dialer = LinkDialer(
            address, self.link_factory("entry"), on_down=lambda _: self.disconnects.append("e")
        )
        self.dialer.start()

    def link_factory(self, name: str) -> Callable[[Connection], Link]:
        return lambda conn: Link(
            conn,
            Hello(1, name, name, "z", ""),
            on_message=lambda _, msg: self.deliver(name, msg),
            heartbeat_payload=lambda: ("", [1, 0]),
            on_heartbeat=lambda *_: None,
            next_timestamp=lambda: [7, 1],
            observe_clock=self.observed_clocks.append,
        )

    def deliver(self, name: str, msg: Message) -> None:
        if self.fail_next_delivery:
            self.fail_next_delivery = False
            raise KeyError("error raised by the handler")
        self.delivered.append((name, msg))

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 - the state is spread over two tasks
                await asyncio.sleep(0.01)

    async def wait_until_connected(self) -> None:
        await self.wait_until(lambda: {name for name, _ in self.delivered} == {"entry", "sidecar"})
        self.delivered.clear()


@pytest.fixture
async def pair(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[LinkPair]:
    monkeypatch.setattr(LIMITS, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(LIMITS, "SILENCE_LIMIT_S", SILENCE_S)
    pair = LinkPair()
    await pair.start()
    await pair.wait_until_connected()
    yield pair
    await pair.dialer.stop()
    await pair.server.close()
    await pair.faulty_proxy.close()


class TestLinkFaults:
    """Guards against a link that stays up without working, or is not dialled again.

    One direction becomes silent, the peer answers no heartbeat or sends half a frame, the
    connection is reset, or a message handler raises an error.
    """

    @pytest.mark.parametrize("fault", ["swallow_up", "swallow_down"])
    async def test_one_silent_direction_closes_both_ends(self, pair: LinkPair, fault: str) -> None:
        setattr(pair.faulty_proxy, fault, True)
        await pair.wait_until(lambda: {"s", "e"} <= set(pair.disconnects))
        await pair.wait_until_connected()

    async def test_peer_that_answers_no_heartbeat_is_disconnected(self, pair: LinkPair) -> None:
        # The dialer's messages are lost in transit, while those of the peer arrive.
        async def send_pings(conn: ServerConnection) -> None:
            await conn.send(encode_message(Hello(1, "deaf", "sidecar", "z", "")))
            with contextlib.suppress(ConnectionClosed):
                while True:
                    await conn.send(encode_message(Ping(1, "", [])))
                    await asyncio.sleep(0.05)

        async with serve(send_pings, "127.0.0.1", 0, close_timeout=0.2) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            disconnects: list[Link] = []
            dialer = LinkDialer(
                f"127.0.0.1:{port}", pair.link_factory("entry"), on_down=disconnects.append
            )
            dialer.start()
            await pair.wait_until(lambda: bool(disconnects))
            await dialer.stop()

    async def test_reset_connection_is_dialled_again(self, pair: LinkPair) -> None:
        for writer in pair.faulty_proxy._writers:
            writer.transport.abort()
        await pair.wait_until_connected()
        assert pair.faulty_proxy.connections == 2

    async def test_error_in_a_handler_does_not_stop_the_dialer(self, pair: LinkPair) -> None:
        pair.fail_next_delivery = True
        assert pair.dialer.link is not None
        pair.dialer.link.send(Cancel("a"))
        await pair.wait_until(lambda: "e" in pair.disconnects)
        await pair.wait_until_connected()

    async def test_messages_that_cause_events_carry_the_clock(self, pair: LinkPair) -> None:
        assert pair.dialer.link is not None
        pair.dialer.link.send(Cancel("a"))
        pair.dialer.link.send(Cancel("b", [9, 9]))
        await pair.wait_until(lambda: len(pair.delivered) == 2)
        assert pair.observed_clocks == [[7, 1], [9, 9]]

    async def test_peer_that_only_pings_is_closed(self, pair: LinkPair) -> None:
        async with connect(f"ws://127.0.0.1:{pair.faulty_proxy.target}/", proxy=None) as conn:
            async with asyncio.timeout(LIMIT_S):
                with pytest.raises(Exception, match="no close frame"):
                    while True:
                        await conn.send(encode_message(Ping(1, "", [])))
                        await asyncio.sleep(0.05)

    async def test_incomplete_frame_counts_as_silence(self, pair: LinkPair) -> None:
        async with connect(f"ws://127.0.0.1:{pair.faulty_proxy.target}/", proxy=None) as conn:
            await conn.send(encode_message(Hello(1, "x", "entry", "z", "")))
            # A frame header that announces 120 bytes and its mask, without the payload.
            conn.transport.write(b"\x82\xf8\x00\x00\x00\x00")
            async with asyncio.timeout(LIMIT_S):
                await conn.wait_closed()

    async def test_invalid_address_is_a_failed_attempt(self) -> None:
        dialer = LinkDialer("no address", LinkPair().link_factory("entry"), on_down=lambda _: None)
        assert not await dialer._connect_once()


class TestDataMerges:
    """Guards against a frame above the limit, and against reordered or missing bytes.

    Many streams that attach together send their buffers in one batch. A frame above the limit
    closes the link, and the next link would send the same frame again.
    """

    def test_streams_that_attach_together_fit_the_frame_limit(self) -> None:
        batch: list[Message] = [Data([(f"a{n}", 0, bytes(MAX_MERGED_BYTES))]) for n in range(40)]
        merged = merge_data(batch)
        assert max(len(encode_message(msg)) for msg in merged) < LIMITS.FRAME_BYTES
        assert [part for msg in merged if isinstance(msg, Data) for part in msg.parts] == [
            part for msg in batch if isinstance(msg, Data) for part in msg.parts
        ]

    def test_tokens_share_a_message_and_keep_their_order(self) -> None:
        batch: list[Message] = [Data([("a", 0, b"x")]), Data([("b", 0, b"y")]), Cancel("c")]
        assert merge_data(batch) == [Data([("a", 0, b"x"), ("b", 0, b"y")]), Cancel("c")]

    def test_split_covers_every_byte(self) -> None:
        data = bytes(range(256)) * 3000
        parts = split_data("a", 10, data)
        assert b"".join(msg.parts[0][2] for msg in parts) == data
        assert [msg.parts[0][1] for msg in parts] == [
            10,
            10 + MAX_MERGED_BYTES,
            10 + 2 * MAX_MERGED_BYTES,
        ]

    def test_message_of_an_older_peer_has_an_empty_clock(self) -> None:
        frame = encode_message(Report(0.0, 0, 0, 1, [], [], False, 0.0, []))
        decoded = decode_message(frame)
        assert isinstance(decoded, Report) and decoded.clock == []
