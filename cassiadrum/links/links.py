"""A WebSocket connection that carries messages between two processes."""

import asyncio
import logging
import socket
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
    TIMESTAMPED_MESSAGES,
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
from cassiadrum.links.silence_detectors import SilenceDetector
from cassiadrum.links.transfer_progress import TransferProgress
from cassiadrum.protocols import TimeSlice

__all__ = ["Link"]

logger = logging.getLogger(__name__)

WATCH_INTERVAL_S = 0.25
# A core serves hundreds of idle links beside its other work, so each gets one timer a second.
IDLE_WATCH_INTERVAL_S = 1.0
# Bytes that the kernel holds of a link and has not sent.
UNSENT_BYTES = 64 * 1024
CONTENT_MESSAGES = (StartRequest, Head, Data)
EMPTY_DATA = Data([])


class Link:
    """A connection with a send queue, heartbeats in both directions and a limit on silence.

    While the link is idle, heartbeats are rarer and the silence limit is longer.

    `on_message(link, message)` is called for every message except heartbeats.
    `heartbeat_payload()` returns the configuration digest and the hybrid logical clock to send,
    `on_heartbeat(link, digest, clock)` receives those of the peer. `next_timestamp()` returns the
    hybrid logical clock for messages that carry one and leave it empty; `observe_clock(clock)`
    receives the peer's before the message is delivered. `clock` gives monotonic seconds.
    """

    def __init__(
        self,
        conn: Connection,
        hello: Hello,
        *,
        on_message: Callable[["Link", Message], None],
        heartbeat_payload: Callable[[], tuple[str, list[int]]],
        on_heartbeat: Callable[["Link", str, list[int]], None],
        next_timestamp: Callable[[], list[int]] = list,
        observe_clock: Callable[[list[int]], None] = lambda clock: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.peer: Hello | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self.data_bytes_sent = 0
        # Bytes of messages that carry no content of a request or an answer.
        self.control_bytes_sent = 0
        self.control_bytes_received = 0
        self.closed = False
        self.unknown_messages = 0
        self._conn = conn
        self._hello = hello
        self._on_message = on_message
        self._heartbeat_payload = heartbeat_payload
        self._on_heartbeat = on_heartbeat
        self._next_timestamp = next_timestamp
        self._observe_clock = observe_clock
        self._clock = clock
        self._outbox: asyncio.Queue[Message] = asyncio.Queue()
        # Heartbeats overtake the messages in the outbox, which may hold much data.
        self._urgent: deque[Message] = deque()
        self._last_received_s = clock()
        # Numbers of the last heartbeat received, of the last one that the peer confirmed, and of
        # the last one sent.
        self._peer_heartbeat_number = 0
        self._last_echo = 0
        self._heartbeat_number = 0
        self._last_echo_s = clock()
        self._received, self._sent = TransferProgress(), TransferProgress()
        # `bytes_received` when the progress was checked last.
        self._checked_bytes = 0
        # Attempts that are open on this link, as counted on this side.
        self._open_streams = 0
        self._last_stream_s = self._active_since_s = clock()

    def send(self, msg: Message) -> None:
        """Queue a message; messages still queued when the connection ends are lost."""
        if isinstance(msg, Ping):
            self._urgent.append(msg)
            # Wakes the writer; an empty data message is not sent.
            msg = EMPTY_DATA
        self._outbox.put_nowait(msg)

    async def run(self) -> None:
        """Run until the connection ends, carries an invalid frame or exceeds the silence limit."""
        self.send(self._hello)
        self._limit_unsent_bytes()
        tasks = [
            asyncio.create_task(part()) for part in (self._read, self._write, self._keep_alive)
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.closed = True
            # A closing handshake would wait for a peer that may no longer respond.
            self._conn.transport.abort()
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                self._log_failure(result)

    def _limit_unsent_bytes(self) -> None:
        """Leave the rest of a large message in this process, where its progress shows."""
        sock = self._conn.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)

    def _log_failure(self, result: BaseException | None) -> None:
        if isinstance(result, BadFrame):
            logger.warning(
                "closed link to %s after an invalid message: %s", self._peer_name(), result
            )
        elif isinstance(result, Exception) and not isinstance(result, ConnectionClosed):
            logger.error(
                "link to %s failed with an unexpected error", self._peer_name(), exc_info=result
            )

    def _peer_name(self) -> str:
        return self.peer.instance if self.peer else "?"

    @property
    def idle(self) -> bool:
        """Return whether the link has had no open stream for LINK_IDLE_AFTER_S."""
        return (
            not self._open_streams
            and self._clock() - self._last_stream_s >= LIMITS.LINK_IDLE_AFTER_S
        )

    def _count_stream(self, msg: Message) -> None:
        if isinstance(msg, StartRequest | Attach) and self.idle:
            self._active_since_s = self._clock()
        if isinstance(msg, StartRequest | Attach):
            self._open_streams += 1
        elif isinstance(msg, End | RejectStart):
            self._open_streams = max(0, self._open_streams - 1)
        else:
            return
        self._last_stream_s = self._clock()

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        self._conn.transport.abort()

    async def _read(self) -> None:
        time_slice = TimeSlice()
        async for frame in self._conn:
            # Receiving does not suspend while frames are in memory.
            await time_slice.checkpoint()
            if isinstance(frame, str):
                raise BadFrame("received a text frame instead of a binary one")
            self._last_received_s = self._clock()
            self.bytes_received += len(frame)
            messages = decode_messages(frame)
            if not any(isinstance(msg, CONTENT_MESSAGES) for msg in messages):
                self.control_bytes_received += len(frame)
            for msg in messages:
                if msg is None:
                    self.unknown_messages += 1
                else:
                    self._handle_message(msg)

    def _handle_message(self, msg: Message) -> None:
        self._count_stream(msg)
        if isinstance(msg, Ping):
            self._handle_heartbeat(msg)
            return
        if isinstance(msg, Hello):
            self.peer = msg
        if self.peer is None:
            raise BadFrame("received another message before Hello")
        if isinstance(msg, TIMESTAMPED_MESSAGES) and msg.clock:
            self._observe_clock(msg.clock)
        self._on_message(self, msg)

    async def _write(self) -> None:
        while True:
            batch = [await self._outbox.get()]
            while not self._outbox.empty():
                batch.append(self._outbox.get_nowait())
            messages = (msg for msg in merge_data(batch) if msg != EMPTY_DATA)
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
        if isinstance(msg, TIMESTAMPED_MESSAGES) and not msg.clock:
            msg = msg._replace(clock=self._next_timestamp())
        self._count_stream(msg)
        encoded = encode_message(msg)
        if isinstance(msg, Data):
            self.data_bytes_sent += len(encoded)
        if not isinstance(msg, CONTENT_MESSAGES):
            self.control_bytes_sent += len(encoded)
        return encoded

    async def _keep_alive(self) -> None:
        """Send heartbeats; return when one direction is silent or the peer sends no hello.

        Time in which this process was paused is not counted.
        """
        # Limits apply to: any frame from the peer, a confirmed heartbeat, the peer's hello. The
        # confirmation comes with the peer's next heartbeat, one interval later.
        silence = SilenceDetector(self._clock(), allowed_lag=(0, 1, 0))
        sent_s = self._clock()
        while not silence.expired:
            step_s = IDLE_WATCH_INTERVAL_S if silence.idle else WATCH_INTERVAL_S
            await asyncio.sleep(step_s)
            now = self._clock()
            self._record_progress(now)
            marks = (self._last_received_s, self._last_echo_s, now if self.peer else 0.0)
            silence.update(
                now, marks, step_s=step_s, idle=self.idle, active_since_s=self._active_since_s
            )
            every_s = LIMITS.HEARTBEAT_INTERVAL_S
            if silence.idle:
                every_s = LIMITS.IDLE_HEARTBEAT_INTERVAL_S
            # Half a step of tolerance, since a timer may fire early.
            if now - sent_s >= every_s - WATCH_INTERVAL_S / 2:
                sent_s = now
                self._send_heartbeat()
        logger.info("link to %s exceeded the silence limit; closing it", self._peer_name())

    def _record_progress(self, now: float) -> None:
        """Count the parts of a large message as signs of life; it holds up heartbeats."""
        advanced = self._received.has_advanced(getattr(self._conn, "received_bytes", 0))
        if advanced and self.bytes_received == self._checked_bytes:
            # No frame was completed, and the peer's confirmation waits behind this one.
            self._last_received_s = self._last_echo_s = now
        self._checked_bytes = self.bytes_received
        unsent = self._conn.transport.get_write_buffer_size()
        if self._sent.has_advanced(self.bytes_sent - unsent) and unsent:
            self._last_echo_s = now

    def _send_heartbeat(self) -> None:
        # Each heartbeat confirms the peer's last one, so no separate replies are needed.
        digest, clock = self._heartbeat_payload()
        self._heartbeat_number += 1
        self.send(Ping(self._heartbeat_number, digest, clock, self._peer_heartbeat_number))

    def _handle_heartbeat(self, msg: Ping) -> None:
        self._peer_heartbeat_number = msg.number
        if msg.echo != self._last_echo:
            self._last_echo = msg.echo
            self._last_echo_s = self._clock()
        self._on_heartbeat(self, msg.digest, msg.clock)
