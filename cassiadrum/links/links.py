"""One websockets connection between two processes."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from cassiadrum.defaults import LIMITS
from cassiadrum.links.codecs import (
    FRAME_TARGET_BYTES,
    decode_messages,
    encode_message,
    make_frames,
)
from cassiadrum.links.errors import BadFrame
from cassiadrum.links.messages import (
    Attach,
    Data,
    End,
    Head,
    Hello,
    Message,
    Ping,
    Pong,
    RejectStart,
    StartRequest,
)

__all__ = ["Link"]

logger = logging.getLogger(__name__)

WATCH_INTERVAL_S = 0.25
# One timer a second for each idle link; a core has to serve hundreds of them beside its work.
IDLE_WATCH_INTERVAL_S = 1.0
CONTENT = (StartRequest, Head, Data)


class Link:
    """Own a connection: send queue, heartbeats in both directions and the silence limit.

    Heartbeats and the silence limit are slower while the link is idle.

    `deliver(link, message)` is called for every message but heartbeats. `heartbeat()` gives the
    configuration digest and the hybrid clock to send; `heard(link, digest, clock)` takes the
    peer's.
    """

    def __init__(
        self,
        conn: Connection,
        hello: Hello,
        *,
        deliver: Callable[["Link", Message], None],
        heartbeat: Callable[[], tuple[str, list[int]]],
        heard: Callable[["Link", str, list[int]], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.peer: Hello | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.data_bytes = 0
        # Bytes of messages that do not belong to a request's or an answer's content.
        self.control_sent = 0
        self.control_received = 0
        self.unknown_messages = 0
        self._conn = conn
        self._hello = hello
        self._deliver = deliver
        self._heartbeat = heartbeat
        self._heard = heard
        self._clock = clock
        self._outbox: asyncio.Queue[Message] = asyncio.Queue()
        self._last_heard_s = clock()
        # Attempts under way on this link as seen from this side.
        self._streams = 0
        self._last_stream_s = clock()

    def send(self, msg: Message) -> None:
        """Queue a message; what is queued when the connection ends is lost."""
        self._outbox.put_nowait(msg)

    async def run(self) -> None:
        """Serve the connection until it is closed, invalid or silent for too long."""
        self.send(self._hello)
        tasks = [
            asyncio.create_task(part()) for part in (self._read, self._write, self._keep_alive)
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for task in tasks:
                with contextlib.suppress(asyncio.CancelledError, ConnectionClosed, BadFrame):
                    await task
            # A closing handshake would wait for a peer that may be silent.
            self._conn.transport.abort()

    @property
    def idle(self) -> bool:
        """Tell whether no stream uses the link and none did for IDLE_AFTER_S."""
        return not self._streams and self._clock() - self._last_stream_s >= LIMITS.IDLE_AFTER_S

    def _count_stream(self, msg: Message) -> None:
        if isinstance(msg, StartRequest | Attach):
            self._streams += 1
        elif isinstance(msg, End | RejectStart):
            self._streams = max(0, self._streams - 1)
        else:
            return
        self._last_stream_s = self._clock()

    def abort(self) -> None:
        """Cut the connection at once."""
        self._conn.transport.abort()

    async def _read(self) -> None:
        async for frame in self._conn:
            if isinstance(frame, str):
                raise BadFrame("a text frame")
            self._last_heard_s = self._clock()
            self.bytes_received += len(frame)
            messages = decode_messages(frame)
            if not any(isinstance(msg, CONTENT) for msg in messages):
                self.control_received += len(frame)
            for msg in messages:
                if msg is None:
                    self.unknown_messages += 1
                else:
                    self._take(msg)

    def _take(self, msg: Message) -> None:
        self._count_stream(msg)
        if isinstance(msg, Ping | Pong):
            self._heard(self, msg.digest, msg.clock)
            return
        if isinstance(msg, Hello):
            self.peer = msg
        if self.peer is None:
            raise BadFrame("a message before hello")
        self._deliver(self, msg)

    async def _write(self) -> None:
        while True:
            batch = [await self._outbox.get()]
            while not self._outbox.empty():
                batch.append(self._outbox.get_nowait())
            encoded = [self._encode(msg) for msg in _merge_data(batch)]
            for frame in make_frames(encoded):
                self.bytes_sent += len(frame)
                await self._conn.send(frame)

    def _encode(self, msg: Message) -> bytes:
        self._count_stream(msg)
        encoded = encode_message(msg)
        if isinstance(msg, Data):
            self.data_bytes += len(encoded)
        if not isinstance(msg, CONTENT):
            self.control_sent += len(encoded)
        return encoded

    async def _keep_alive(self) -> None:
        """Send heartbeats, and end when the peer is silent.

        Time in which this process did not run is not counted.
        """
        silent_s, limit_s, was_idle = 0.0, LIMITS.SILENCE_LIMIT_S, False
        sent_s = last_s = self._clock()
        while silent_s < limit_s:
            interval_s = IDLE_WATCH_INTERVAL_S if was_idle else WATCH_INTERVAL_S
            await asyncio.sleep(interval_s)
            now, idle = self._clock(), self.idle
            if self._last_heard_s >= last_s:
                silent_s = 0.0
            elif was_idle and not idle:
                # The peer of a link that has become active has the short time from then on.
                silent_s = min(now - self._last_stream_s, interval_s)
            else:
                silent_s += min(now - last_s, 2 * interval_s)
            last_s, was_idle = now, idle
            limit_s = LIMITS.IDLE_SILENCE_LIMIT_S if idle else LIMITS.SILENCE_LIMIT_S
            every_s = LIMITS.IDLE_HEARTBEAT_INTERVAL_S if idle else LIMITS.HEARTBEAT_INTERVAL_S
            # Half a step is left for a timer that fires early.
            if now - sent_s >= every_s - WATCH_INTERVAL_S / 2:
                sent_s = now
                self._send_heartbeat()
        logger.info("link to %s is silent, closing it", self.peer.instance if self.peer else "?")

    def _send_heartbeat(self) -> None:
        # Both sides send heartbeats on their own, so none is answered and none needs its time.
        digest, clock = self._heartbeat()
        self.send(Ping(0, digest, clock))


def _merge_data(batch: list[Message]) -> list[Message]:
    """Put consecutive data messages into one: a frame per token costs too much processor time.

    A message is not extended beyond FRAME_TARGET_BYTES, so that the frame stays below the
    peer's limit however much is ready.
    """
    merged: list[Message] = []
    size = 0
    for msg in batch:
        last = merged[-1] if merged else None
        if not isinstance(msg, Data):
            merged.append(msg)
            continue
        if isinstance(last, Data) and size < FRAME_TARGET_BYTES:
            last.parts.extend(msg.parts)
        else:
            merged.append(Data(list(msg.parts)))
            size = 0
        size += sum(len(data) for _, _, data in msg.parts)
    return merged
