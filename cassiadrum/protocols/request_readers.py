"""Reader of complete requests from one server connection."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from cassiadrum.protocols.errors import BadMessage
from cassiadrum.protocols.http_requests import HttpRequest
from cassiadrum.protocols.memory_budgets import MemoryBudget
from cassiadrum.protocols.notifying_readers import NotifyingReader, receive_pending
from cassiadrum.protocols.time_slices import MAX_PARSE_BYTES

__all__ = ["ReadLimits", "RequestReader"]


class ReadLimits(NamedTuple):
    """Limits of one request: sizes in bytes, time to read it and idle time before it."""

    header_bytes: int
    body_bytes: int
    read_timeout_s: float
    idle_timeout_s: float


class RequestReader:
    """Reader of requests within the limits that `limits()` returns when the reading begins."""

    def __init__(
        self,
        conn: h11.Connection,
        reader: NotifyingReader,
        writer: asyncio.StreamWriter,
        budget: MemoryBudget,
        limits: Callable[[], ReadLimits],
    ) -> None:
        self._conn = conn
        self._reader = reader
        self._writer = writer
        self._get_limits = limits
        self._limits = limits()
        self._budget = budget
        self._deadline = 0.0
        # Start of the wait for a request, None while one is being read.
        self._idle_since_s: float | None = None
        # Bytes received by the deadline that have not been read, None before it.
        self._late_bytes: int | None = None
        # Size of the current body; `release_body` returns it to the budget.
        self._reserved_bytes = 0
        # Method of the last request head that was parsed, by which h11 frames the response.
        self.method = "GET"
        # Whether a part of the next request's head has arrived.
        self._head_started = False
        # Whether the caller's next bytes are awaited.
        self._waiting = False

    @property
    def request_started(self) -> bool:
        """Return whether any byte of a request that is not answered yet has arrived."""
        return self.next_started or self._conn.their_state not in (h11.IDLE, h11.CLOSED)

    @property
    def next_started(self) -> bool:
        """Return whether any byte has arrived after the request that was returned last."""
        return bool(self._conn.trailing_data[0]) or self._reader.unread_bytes > 0

    @property
    def waiting_for_data(self) -> bool:
        """Return whether all received bytes are parsed and the next request is not complete."""
        return self._waiting and self._reader.unread_bytes == 0

    @property
    def idle(self) -> bool:
        """Return whether no byte of the next request has arrived."""
        return self.waiting_for_data and self._idle_since_s is not None

    async def read(self) -> HttpRequest | None:
        """Return the next request, or None when the client disconnects or stays idle.

        Raises BadMessage for invalid HTTP, a body over the limit or the budget, and a request
        that is incomplete at the end of the read timeout.
        """
        self._limits = self._get_limits()
        self.method = "GET"
        self._head_started = bool(self._conn.trailing_data[0])
        if self._head_started:
            self._set_deadline(self._limits.read_timeout_s)
        else:
            self._idle_since_s = self._now()
            self._set_deadline(self._limits.idle_timeout_s)
        head = await self._read_head()
        if head is None:
            return None
        body = await self._read_body()
        return None if body is None else _to_request(head, body)

    def release_body(self) -> None:
        """Return the current body's bytes to the budget."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def extend_idle_wait(self, idle_timeout_s: float) -> None:
        """Let the current wait for a request last for at least `idle_timeout_s`."""
        if self._idle_since_s is not None:
            self._deadline = max(self._deadline, self._idle_since_s + idle_timeout_s)

    def _reserve(self, more_bytes: int) -> None:
        size = self._reserved_bytes + more_bytes
        if size > self._limits.body_bytes:
            raise BadMessage(413, f"the body is larger than {self._limits.body_bytes} bytes")
        if not self._budget.try_resize(self._reserved_bytes, size):
            raise BadMessage(503, "the memory for request bodies is exhausted")
        self._reserved_bytes = size

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                self.method = event.method.decode()
                _check_head_size(event, self._limits.header_bytes)
                _check_framing(event)
                self._check_length(event)
                return event
            if event is not h11.NEED_DATA:
                return None
            self._check_incomplete()
            started = self._head_started
            if not await self._receive(started=started):
                return None
            if not started:
                self._idle_since_s = None
                # They may have changed during the wait.
                self._limits = self._get_limits()
                self._set_deadline(self._limits.read_timeout_s)

    def _check_incomplete(self) -> None:
        """Reject a head, or a trailer or chunk header, over the limit before it is complete."""
        size = len(self._conn.trailing_data[0])
        if size > self._limits.header_bytes:
            raise BadMessage(431, f"the headers are larger than {self._limits.header_bytes} bytes")

    def _check_length(self, head: h11.Request) -> None:
        """Reject a body over the limit before any of it is read."""
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > self._limits.body_bytes:
            raise BadMessage(413, f"the body is larger than {self._limits.body_bytes} bytes")

    async def _read_body(self) -> bytes | None:
        # One buffer: a list of the chunks would take many times the memory of their bytes if the
        # caller sends a byte in each.
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                self._reserve(len(event.data))
                body += event.data
                continue
            if event is not h11.NEED_DATA:
                return None
            self._check_incomplete()
            if not await self._receive(started=True):
                return None

    async def _next_event(self) -> object:
        await self._reader.time_slice.checkpoint()
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            # The message of h11 quotes received bytes, so it is not passed on.
            raise BadMessage(exc.error_status_hint, "the request is not valid HTTP/1.1") from exc

    async def _receive(self, *, started: bool) -> bool:
        """Pass received bytes to h11; return False after the idle timeout."""
        if self._conn.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._conn.send(reply) or b"")
        self._waiting = True
        try:
            data = await self._read_until_deadline()
        finally:
            self._waiting = False
        if data is None:
            if started:
                limit = f"{self._limits.read_timeout_s:g} s"
                raise BadMessage(408, f"the request did not arrive within {limit}")
            return False
        self._conn.receive_data(data)
        self._head_started = bool(data)
        return True

    def _set_deadline(self, timeout_s: float) -> None:
        self._deadline = self._now() + timeout_s
        self._late_bytes = None

    async def _read_until_deadline(self) -> bytes | None:
        """Return received bytes, None at the deadline once those received by then are read."""
        # The deadline is later than before if the wait was extended.
        while (left_s := self._deadline - self._now()) > 0.0:
            try:
                async with asyncio.timeout(left_s) as scope:
                    return await self._reader.read(MAX_PARSE_BYTES)
            except TimeoutError:
                if not scope.expired():
                    # The transport reports a connection that timed out with the same exception.
                    raise
        return await self._read_late()

    async def _read_late(self) -> bytes | None:
        """Return bytes that were received by the deadline, None if there are no more.

        After a stall of the event loop the timeout expires in the same iteration in which the
        bytes that arrived meanwhile are received. A caller that goes on sending does not extend
        the deadline.
        """
        if self._late_bytes is None:
            await receive_pending()
            self._late_bytes = self._reader.unread_bytes
        if self._late_bytes == 0:
            return None
        data = await self._reader.read(min(self._late_bytes, MAX_PARSE_BYTES))
        self._late_bytes -= len(data)
        return data

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _check_head_size(head: h11.Request, limit_bytes: int) -> None:
    """Reject headers over the limit; h11 limits only the size of incomplete ones."""
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limit_bytes:
        raise BadMessage(431, f"the headers are larger than {limit_bytes} bytes")


def _check_framing(head: h11.Request) -> None:
    """Reject a request with both framings.

    A load balancer in front may use the other one and so see other request boundaries (request
    smuggling).
    """
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise BadMessage(400, "content-length and transfer-encoding must not both be present")


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
    return HttpRequest(head.method.decode(), head.target.decode("latin-1"), headers, body)
