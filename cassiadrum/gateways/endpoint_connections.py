"""A persistent HTTP/1.1 connection to an endpoint."""

import asyncio
import socket

import h11

from cassiadrum.protocols import (
    MAX_PARSE_BYTES,
    AnswerLost,
    BadMessage,
    CallTimeout,
    ConnectFailed,
    Headers,
    HttpError,
    TimeSlice,
    next_answer_event,
)
from cassiadrum.settings.addresses import Address

__all__ = ["EndpointConnection"]

# Unread bytes at which reading from the endpoint stops, so that a slow caller slows it down.
MAX_BUFFERED_BYTES = 64 * 1024
# Bytes of heads and chunk framing beyond the size of the body. An answer in chunks of one byte
# keeps the parser busy for many times as long as its size suggests; chunks of whole tokens are
# larger than their framing.
MAX_FRAMING_BYTES = 64 * 1024
# Interim (1xx) answers that an endpoint may send before the final one.
MAX_INTERIM_ANSWERS = 8
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Bytes of a request that an endpoint receives in one piece with the head.
MAX_READ_AT_ONCE_BYTES = 8 * 1024
# Time in which a reset follows the end of an answer of an endpoint that has not read the request.
RESET_WAIT_S = 0.1
BODILESS_STATUSES = frozenset({204, 304})


class EndpointConnection(asyncio.Protocol):
    """A connection for one request at a time; bytes received between requests close it."""

    def __init__(self) -> None:
        self.idle_until_s = 0.0
        self.reused = False
        # Whether the registered incarnation of the endpoint is known to be at its other end.
        self.is_registered = False
        self._transport: asyncio.Transport | None = None
        self._conn = h11.Connection(h11.CLIENT)
        self._request: list[h11.Event] = []
        # Received bytes that the parser has not got yet.
        self._buffer = bytearray()
        # An event or error that was parsed after the data that was returned last.
        self._next: object = h11.NEED_DATA
        self._time_slice = TimeSlice()
        # Received bytes of the current answer, and those of its body.
        self._answer_bytes = 0
        self._body_bytes = 0
        # Size of the current request's body.
        self._request_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._busy = False
        # Whether the body of the current answer has no length and ends with the connection.
        self.ends_with_connection = False
        self._eof = False
        # Whether the input ended before the request was sent.
        self._ended_early = False
        self._lost_exc: Exception | None = None
        self._aborted = False

    @classmethod
    async def open(cls, address: Address, timeout_s: float) -> "EndpointConnection":
        """Connect; raise ConnectFailed, in which case nothing was sent."""
        loop = asyncio.get_running_loop()
        try:
            # The kernel may have made the connection while this process stood still.
            async with CallTimeout(timeout_s, timeout_s):
                _, conn = await loop.create_connection(cls, address.host, address.port)
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # An address that is none raises UnicodeError, a ValueError, or OverflowError.
            raise ConnectFailed(f"{address}: {exc or 'no connection in time'}") from exc
        return conn

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer bytes of the answer."""
        if not self._busy:
            self.abort()
            return
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the input; return whether the connection stays open.

        It does until the request ends, as a reset may follow.
        """
        self._eof = True
        if self._transport is not None:
            self._ended_early = self._transport.get_write_buffer_size() > 0
        self._wake()
        return self._busy

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection."""
        self._eof = True
        self._lost_exc = exc
        self._transport = None
        self._wake()

    # Methods for the current request.

    @property
    def usable(self) -> bool:
        """Return whether a request can be sent."""
        return self._transport is not None and not (self._eof or self._aborted)

    @property
    def closed_by_peer(self) -> bool:
        """Return whether the endpoint closed or reset the connection."""
        return self._eof and not self._aborted

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a request without waiting for the endpoint to read it.

        Raises BadMessage, and sends nothing, if the request cannot be encoded.
        """
        assert self._transport is not None
        try:
            lines = [(name.encode(), value.encode("latin-1")) for name, value in headers]
            if body or method in ("POST", "PUT", "PATCH"):
                lines.append((b"content-length", str(len(body)).encode()))
            self._request = [h11.Request(method=method, target=target, headers=lines)]
        except (h11.LocalProtocolError, UnicodeError) as exc:
            raise BadMessage(400, f"the request cannot be encoded: {exc}") from exc
        if body:
            self._request.append(h11.Data(data=body))
        self._request.append(h11.EndOfMessage())
        self._busy = True
        self._answer_bytes = self._body_bytes = 0
        self._request_bytes = len(body)
        self._time_slice.restart()
        self._transport.write(b"".join(self._conn.send(event) or b"" for event in self._request))

    async def read_head(self) -> h11.Response:
        """Return the head of the next answer; raise AnswerLost or BadMessage."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.ends_with_connection = self._has_unknown_length(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerLost("the connection ended before the answer")
        raise BadMessage(502, f"more than {MAX_INTERIM_ANSWERS} interim answers")

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raise AnswerLost or BadMessage.

        Chunks that have arrived together are returned together, since each part that is passed
        on has a cost that does not depend on its size.
        """
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            return None
        if not isinstance(event, h11.Data):
            raise AnswerLost("the connection ended inside the body")
        data = bytearray()
        while isinstance(event, h11.Data) and len(data) < MAX_PARSE_BYTES:
            data += event.data
            self._body_bytes += len(event.data)
            await self._time_slice.checkpoint()
            event = self._parse()
        self._next = event
        if self._answer_bytes - self._body_bytes > self._body_bytes + MAX_FRAMING_BYTES:
            raise BadMessage(502, "the answer has more framing than data")
        return bytes(data)

    async def is_reset(self) -> bool:
        """Return whether a reset follows the end of an answer that the connection ends.

        An endpoint that closes the connection before it has read the whole request resets it. A
        short request arrives in one piece with its head, so that there is no wait for it.
        """
        if self._request_bytes > MAX_READ_AT_ONCE_BYTES:
            await asyncio.sleep(RESET_WAIT_S)
        if self._lost_exc is not None:
            return True
        sock = None if self._transport is None else self._transport.get_extra_info("socket")
        return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def expect_next_answer(self) -> None:
        """Prepare to read the next answer after one that belongs to an earlier request."""
        rest, _ = self._conn.trailing_data
        if self._conn.their_state is not h11.DONE or self._conn.our_state is not h11.DONE:
            raise AnswerLost("the connection ended after an answer to another request")
        self._conn = h11.Connection(h11.CLIENT)
        for event in self._request:
            self._conn.send(event)
        if rest:
            self._conn.receive_data(rest)

    def finish(self) -> bool:
        """End a request whose answer was read completely; return whether another may follow."""
        done = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        extra = bool(self._buffer) or bool(self._conn.trailing_data[0])
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if not done or extra or unsent or not self.usable:
            self.abort()
            return False
        self._conn.start_next_cycle()
        self._request = []
        self._busy = False
        self.reused = True
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def _has_unknown_length(self, response: h11.Response) -> bool:
        """Return whether the body of an answer has neither a length nor chunks."""
        request = self._request[0]
        assert isinstance(request, h11.Request)
        if request.method == b"HEAD" or response.status_code in BODILESS_STATUSES:
            return False
        return not any(name in FRAMING_HEADERS for name, _ in response.headers)

    async def _next_event(self) -> object:
        """Return the next event; wait for data, and let other tasks run while there is much."""
        while True:
            await self._time_slice.checkpoint()
            event, self._next = self._next, h11.NEED_DATA
            if event is h11.NEED_DATA:
                event = self._parse()
            if isinstance(event, HttpError):
                raise event
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _parse(self) -> object:
        """Return the next event in the received bytes, an error, or h11.NEED_DATA."""
        while True:
            try:
                event = next_answer_event(self._conn)
            except BadMessage as exc:
                return exc
            except h11.RemoteProtocolError as exc:
                return AnswerLost(str(exc)) if self._eof else BadMessage(502, str(exc))
            if event is not h11.NEED_DATA or not self._buffer:
                return event
            self._feed_parser()

    def _feed_parser(self) -> None:
        data = bytes(self._buffer[:MAX_PARSE_BYTES])
        del self._buffer[:MAX_PARSE_BYTES]
        self._answer_bytes += len(data)
        if not self._buffer and self._transport is not None:
            self._transport.resume_reading()
        self._conn.receive_data(data)

    async def _receive(self) -> None:
        """Wait for bytes or the end of the input, and pass it to the parser."""
        while not self._buffer and not self._eof:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
            self._time_slice.restart()
        if self._buffer:
            self._feed_parser()
        elif self._lost_exc is not None:
            # A reset is an error even for a body that is delimited by the end of the connection.
            raise AnswerLost(str(self._lost_exc) or "the connection was reset")
        elif self._aborted:
            # The transport reports this process's own abort like an orderly close by the endpoint.
            raise AnswerLost("the connection was aborted")
        elif self.ends_with_connection and self._ended_early:
            raise AnswerLost("the answer ended before the request was sent")
        else:
            self._conn.receive_data(b"")

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
