"""Tests of one link over a connection with faults."""

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


class Pipe:
    """Forward one TCP connection at a time; each direction can be made to swallow bytes."""

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
        other, up = await asyncio.open_connection("127.0.0.1", self.target)
        self._writers += [writer, up]
        number = self.connections
        self._tasks += [
            asyncio.create_task(self._copy(reader, up, lambda: self.swallow_up, number)),
            asyncio.create_task(self._copy(other, writer, lambda: self.swallow_down, number)),
        ]

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallows: Callable[[], bool],
        number: int,
    ) -> None:
        try:
            while data := await reader.read(65536):
                # Only the first connection is faulty, as when a middlebox lost its state.
                if number > 1 or not swallows():
                    writer.write(data)
        except ConnectionError:
            pass
        # A silent direction does not pass the end of the connection on either.
        if number > 1 or not swallows():
            writer.close()

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()


class Ends:
    """A server and a dialer with a pipe in between."""

    def __init__(self) -> None:
        self.delivered: list[tuple[str, Message]] = []
        self.downs: list[str] = []
        self.observed: list[list[int]] = []
        self.server = LinkServer(self.make("sidecar"), on_down=lambda _: self.downs.append("s"))
        self.fail_on_deliver = False

    async def start(self) -> None:
        self.pipe = Pipe(await self.server.start("127.0.0.1", 0))
        address = f"127.0.0.1:{await self.pipe.start()}"
        self.dialer = LinkDialer(
            address, self.make("entry"), on_down=lambda _: self.downs.append("e")
        )
        self.dialer.start()

    def make(self, name: str) -> Callable[[Connection], Link]:
        return lambda conn: Link(
            conn,
            Hello(1, name, name, "z", ""),
            on_message=lambda _, msg: self.deliver(name, msg),
            heartbeat_payload=lambda: ("", [1, 0]),
            on_heartbeat=lambda *_: None,
            next_timestamp=lambda: [7, 1],
            observe_clock=self.observed.append,
        )

    def deliver(self, name: str, msg: Message) -> None:
        if self.fail_on_deliver:
            self.fail_on_deliver = False
            raise KeyError("a fault in a handler")
        self.delivered.append((name, msg))

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 - two tasks and their sockets
                await asyncio.sleep(0.01)

    async def up(self) -> None:
        await self.until(lambda: {name for name, _ in self.delivered} == {"entry", "sidecar"})
        self.delivered.clear()


@pytest.fixture
async def ends(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Ends]:
    monkeypatch.setattr(LIMITS, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(LIMITS, "SILENCE_LIMIT_S", SILENCE_S)
    ends = Ends()
    await ends.start()
    await ends.up()
    yield ends
    await ends.dialer.stop()
    await ends.server.close()
    await ends.pipe.close()


class TestLinkFaults:
    """Guards against a link that stays up without working, or is not dialled again."""

    @pytest.mark.parametrize("fault", ["swallow_up", "swallow_down"])
    async def test_one_silent_direction_ends_both_ends(self, ends: Ends, fault: str) -> None:
        setattr(ends.pipe, fault, True)
        await ends.until(lambda: {"s", "e"} <= set(ends.downs))
        await ends.up()

    async def test_peer_that_answers_no_heartbeat_is_given_up(self, ends: Ends) -> None:
        # What this end sends is lost on the way, while the peer's messages arrive.
        async def talk(conn: ServerConnection) -> None:
            await conn.send(encode_message(Hello(1, "deaf", "sidecar", "z", "")))
            with contextlib.suppress(ConnectionClosed):
                while True:
                    await conn.send(encode_message(Ping(1, "", [])))
                    await asyncio.sleep(0.05)

        async with serve(talk, "127.0.0.1", 0, close_timeout=0.2) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            downs: list[Link] = []
            dialer = LinkDialer(f"127.0.0.1:{port}", ends.make("entry"), on_down=downs.append)
            dialer.start()
            await ends.until(lambda: bool(downs))
            await dialer.stop()

    async def test_reset_is_dialled_again(self, ends: Ends) -> None:
        for writer in ends.pipe._writers:
            writer.transport.abort()
        await ends.up()
        assert ends.pipe.connections == 2

    async def test_fault_in_a_handler_does_not_end_the_dialling(self, ends: Ends) -> None:
        ends.fail_on_deliver = True
        assert ends.dialer.link is not None
        ends.dialer.link.send(Cancel("a"))
        await ends.until(lambda: "e" in ends.downs)
        await ends.up()

    async def test_clock_travels_with_messages_that_cause_events(self, ends: Ends) -> None:
        assert ends.dialer.link is not None
        ends.dialer.link.send(Cancel("a"))
        ends.dialer.link.send(Cancel("b", [9, 9]))
        await ends.until(lambda: len(ends.delivered) == 2)
        assert ends.observed == [[7, 1], [9, 9]]

    async def test_peer_that_only_pings_is_closed(self, ends: Ends) -> None:
        async with connect(f"ws://127.0.0.1:{ends.pipe.target}/", proxy=None) as conn:
            async with asyncio.timeout(LIMIT_S):
                with pytest.raises(Exception, match="no close frame"):
                    while True:
                        await conn.send(encode_message(Ping(1, "", [])))
                        await asyncio.sleep(0.05)

    async def test_half_a_frame_is_silence(self, ends: Ends) -> None:
        async with connect(f"ws://127.0.0.1:{ends.pipe.target}/", proxy=None) as conn:
            await conn.send(encode_message(Hello(1, "x", "entry", "z", "")))
            # A header that announces 120 bytes, and the mask without the bytes.
            conn.transport.write(b"\x82\xf8\x00\x00\x00\x00")
            async with asyncio.timeout(LIMIT_S):
                await conn.wait_closed()

    async def test_address_that_is_none_is_dialled_again(self) -> None:
        dialer = LinkDialer("no address", Ends().make("entry"), on_down=lambda _: None)
        assert not await dialer._connect_once()


class TestDataMerges:
    """Guards against a frame above the limit, which would end the link again and again."""

    def test_streams_that_attach_together_fit_the_frame_limit(self) -> None:
        batch: list[Message] = [Data([(f"a{n}", 0, bytes(MAX_MERGED_BYTES))]) for n in range(40)]
        merged = merge_data(batch)
        assert max(len(encode_message(msg)) for msg in merged) < LIMITS.FRAME_BYTES
        assert [part for msg in merged if isinstance(msg, Data) for part in msg.parts] == [
            part for msg in batch if isinstance(msg, Data) for part in msg.parts
        ]

    def test_tokens_share_a_frame_and_keep_their_order(self) -> None:
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
