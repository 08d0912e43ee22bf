"""One websockets connection between two processes."""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from cassiadrum.defaults import LIMITS
from cassiadrum.links.codecs import decode_messages, encode_message, make_frames
from cassiadrum.links.data_merges import merge_data
from cassiadrum.links.errors import BadFrame
from cassiadrum.links.messages import (
    CLOCKED,
    Attach,
    Data,
    End,
    Head,
    Hello,
    Message,
    Ping,
    RejectStart,
    StartRequest,
)
from cassiadrum.links.silence_watches import SilenceWatch

__all__ = ["Link"]

logger = logging.getLogger(__name__)

WATCH_INTERVAL_S = 0.25
# One timer a second for each idle link; a core has to serve hundreds of them beside its work.
IDLE_WATCH_INTERVAL_S = 1.0
CONTENT = (StartRequest, Head, Data)
NO_DATA = Data([])


class Link:
    """Own a connection: send queue, heartbeats in both directions and the silence limit.

    Heartbeats and the silence limit are slower while the link is idle.

    `deliver(link, message)` is called for every message but heartbeats. `heartbeat()` gives the
    configuration digest and the hybrid clock to send; `heard(link, digest, clock)` takes the
    peer's. `stamp()` gives the hybrid clock for the messages that carry one and leave it empty,
    `observe(clock)` takes the peer's before the message is delivered.
    """

    def __init__(
        self,
        conn: Connection,
        hello: Hello,
        *,
        deliver: Callable[["Link", Message], None],
        heartbeat: Callable[[], tuple[str, list[int]]],
        heard: Callable[["Link", str, list[int]], None],
        stamp: Callable[[], list[int]] = list,
        observe: Callable[[list[int]], None] = lambda clock: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.peer: Hello | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.data_bytes = 0
        # Bytes of messages that do not belong to a request's or an answer's content.
        self.control_sent = 0
        self.control_received = 0
        self.closed = False
        self.unknown_messages = 0
        self._conn = conn
        self._hello = hello
        self._deliver = deliver
        self._heartbeat = heartbeat
        self._heard = heard
        self._stamp = stamp
        self._observe = observe
        self._clock = clock
        self._outbox: asyncio.Queue[Message] = asyncio.Queue()
        # Heartbeats overtake data, whose queue may be long.
        self._urgent: deque[Message] = deque()
        self._last_heard_s = clock()
        # The peer's last heartbeat, and the last of this side's that it has confirmed.
        self._peer_number = 0
        self._echoed = 0
        self._number = 0
        self._last_echo_s = clock()
        # Attempts under way on this link as seen from this side.
        self._streams = 0
        self._last_stream_s = self._active_since_s = clock()

    def send(self, msg: Message) -> None:
        """Queue a message; what is queued when the connection ends is lost."""
        if isinstance(msg, Ping):
            self._urgent.append(msg)
            # Wakes the writer when it waits; an empty part is not sent.
            msg = NO_DATA
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
            self.closed = True
            # A closing handshake would wait for a peer that may be silent.
            self._conn.transport.abort()
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                self._report_failure(result)

    def _report_failure(self, result: BaseException | None) -> None:
        if isinstance(result, BadFrame):
            logger.warning("link to %s sent an invalid message: %s", self._peer_name(), result)
        elif isinstance(result, Exception) and not isinstance(result, ConnectionClosed):
            logger.error("link to %s failed", self._peer_name(), exc_info=result)

    def _peer_name(self) -> str:
        return self.peer.instance if self.peer else "?"

    @property
    def idle(self) -> bool:
        """Tell whether no stream uses the link and none did for LINK_IDLE_AFTER_S."""
        return (
            not self._streams and self._clock() - self._last_stream_s >= LIMITS.LINK_IDLE_AFTER_S
        )

    def _count_stream(self, msg: Message) -> None:
        if isinstance(msg, StartRequest | Attach) and self.idle:
            self._active_since_s = self._clock()
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
        if isinstance(msg, Ping):
            self._take_heartbeat(msg)
            return
        if isinstance(msg, Hello):
            self.peer = msg
        if self.peer is None:
            raise BadFrame("a message before hello")
        if isinstance(msg, CLOCKED) and msg.clock:
            self._observe(msg.clock)
        self._deliver(self, msg)

    async def _write(self) -> None:
        while True:
            batch = [await self._outbox.get()]
            while not self._outbox.empty():
                batch.append(self._outbox.get_nowait())
            messages = (msg for msg in merge_data(batch) if msg != NO_DATA)
            for frame in make_frames(map(self._encode, messages)):
                await self._send_urgent()
                await self._send_frame(frame)
            await self._send_urgent()

    async def _send_urgent(self) -> None:
        while self._urgent:
            await self._send_frame(self._encode(self._urgent.popleft()))

    async def _send_frame(self, frame: bytes) -> None:
        self.bytes_sent += len(frame)
        await self._conn.send(frame)

    def _encode(self, msg: Message) -> bytes:
        if isinstance(msg, CLOCKED) and not msg.clock:
            msg = msg._replace(clock=self._stamp())
        self._count_stream(msg)
        encoded = encode_message(msg)
        if isinstance(msg, Data):
            self.data_bytes += len(encoded)
        if not isinstance(msg, CONTENT):
            self.control_sent += len(encoded)
        return encoded

    async def _keep_alive(self) -> None:
        """Send heartbeats, and end when either direction is silent or the peer has no name.

        Time in which this process did not run is not counted.
        """
        # A confirmation comes with the peer's next heartbeat.
        silence = SilenceWatch(self._clock(), late=(0, 1, 0))
        sent_s = self._clock()
        while not silence.expired:
            step_s = IDLE_WATCH_INTERVAL_S if silence.idle else WATCH_INTERVAL_S
            await asyncio.sleep(step_s)
            now = self._clock()
            marks = (self._last_heard_s, self._last_echo_s, now if self.peer else 0.0)
            silence.check(
                now, marks, step_s=step_s, idle=self.idle, active_since_s=self._active_since_s
            )
            every_s = LIMITS.HEARTBEAT_INTERVAL_S
            if silence.idle:
                every_s = LIMITS.IDLE_HEARTBEAT_INTERVAL_S
            # Half a step is left for a timer that fires early.
            if now - sent_s >= every_s - WATCH_INTERVAL_S / 2:
                sent_s = now
                self._send_heartbeat()
        logger.info("link to %s is silent, closing it", self._peer_name())

    def _send_heartbeat(self) -> None:
        # Each heartbeat confirms the peer's last one, so none needs an answer of its own.
        digest, clock = self._heartbeat()
        self._number += 1
        self.send(Ping(self._number, digest, clock, self._peer_number))

    def _take_heartbeat(self, msg: Ping) -> None:
        self._peer_number = msg.number
        if msg.echo != self._echoed:
            self._echoed = msg.echo
            self._last_echo_s = self._clock()
        self._heard(self, msg.digest, msg.clock)
