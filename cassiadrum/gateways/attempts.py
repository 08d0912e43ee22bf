"""One request at one endpoint."""

import logging
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import NamedTuple, Self, TypeVar

from cassiadrum.gateways.answer_heads import AnswerHead
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_pools import EndpointPool
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.placements import FIRST_BYTES_MS, PREFILL_TOKENS_PER_MS
from cassiadrum.gateways.placers import Placed
from cassiadrum.gateways.tickets import Ticket
from cassiadrum.protocols import AnswerLost, BadMessage, BodyBudget, ConnectFailed

__all__ = ["Attempt", "WholeAnswer"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Largest answer of a plain call in bytes; it is held whole before it is passed on.
ANSWER_BYTES = 8 * 1024 * 1024
# Late answers to earlier requests that are read before the connection is given up.
SKIPPED_ANSWERS = 3
# An endpoint that refused work for lack of room gets none for this long.
FULL_PAUSE_S = 0.15
# Status of an endpoint that is not the one that was meant.
REPLACED = 421
# An endpoint that another one replaced at its address; its registration is about to change.
REPLACED_PAUSE_S = 5.0


class WholeAnswer(NamedTuple):
    """Hold an answer that was read to its end."""

    head: AnswerHead
    body: bytes


class Attempt:
    """Send a request to an endpoint and read its answer; leaving the context ends both.

    The connection is kept only when the answer was read whole; else it is closed, which also stops
    the endpoint's work.
    """

    def __init__(
        self,
        ticket: Ticket,
        placed: Placed,
        pool: EndpointPool,
        protocol: CallProtocol,
        bodies: BodyBudget,
        clock: Callable[[], float],
    ) -> None:
        self.view = placed.view
        self._ticket = ticket
        self._pool = pool
        self._protocol = protocol
        # The memory that the unfinished answers of all attempts share, and what this one holds.
        self._bodies = bodies
        self._held_bytes = 0
        self._clock = clock
        self._prefill_tokens = placed.prefill_tokens
        self._prefilling = True
        # Requests that were to be answered first, without this one.
        self._before = max(0, placed.view.waiting(clock()) - 1)
        reading_ms = placed.prefill_tokens / PREFILL_TOKENS_PER_MS
        self.expected_wait_s = (self._before * placed.view.turn_ms + reading_ms) / 1000
        self._sent_s = 0.0
        self._target = placed.view.entry.incarnation
        self._conn: EndpointConnection | None = None
        self._head: AnswerHead | None = None
        self._whole = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._answered(None)
        self.view.end()
        self._bodies.release(self._held_bytes)
        self._held_bytes = 0
        if self._conn is None:
            return
        if self._whole and self._head is not None:
            self._pool.give_back(self._target, self._conn, self._head.idle_s, self._clock())
        else:
            self._conn.abort()

    async def start(self, last_event_id: str) -> AnswerHead:
        """Send the request and return the head of its answer; raise AttemptFailed."""
        ticket = self._ticket
        assert ticket.route is not None
        once = ticket.route.kind is CallKind.ONCE
        try:
            conn = await self._pool.lend(self._target, self._clock(), fresh=once)
        except ConnectFailed as exc:
            self.view.unreachable(self._clock())
            # Otherwise a service whose endpoints are all unreachable would be tried without end.
            ticket.tried.add(self.view.entry.instance)
            raise AttemptFailed(f"unreachable: {exc}", not_run=True) from exc
        self._conn = conn
        call = ticket.call
        headers = self._protocol.encode_call(
            call,
            self.view.entry,
            customer=ticket.customer.name if ticket.customer else "",
            priority=ticket.urgency,
            timeout_s=ticket.deadline_s - self._clock(),
            last_event_id=last_event_id,
        )
        ticket.sends += 1
        ticket.arrivals += 1
        ticket.tried.add(self.view.entry.instance)
        already = ticket.may_have_run
        ticket.may_have_run = True
        self._sent_s = self._clock()
        conn.send(call.method, call.target, headers, call.body)
        self.view.cached.add(call.prompt)
        head = await self._read(self._matching_head())
        self._take_notices(head)
        if head.not_run:
            ticket.may_have_run = already
            self._refused(head)
            raise AttemptFailed(f"not run, status {head.status}", not_run=True)
        if head.encoded or (head.status < 300 and not head.signed):
            self.view.failed(self._clock())
            raise AttemptFailed("the answer is not the endpoint's")
        read_ms = FIRST_BYTES_MS + self._prefill_tokens / PREFILL_TOKENS_PER_MS
        wait_ms = (self._clock() - self._sent_s) * 1000 - read_ms
        self.view.learn_turn(wait_ms, self._before)
        self._answered(head)
        self._head = head
        return head

    @property
    def head(self) -> AnswerHead:
        """Return the head of the answer."""
        assert self._head is not None
        return self._head

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, None at its end; raise AttemptFailed."""
        assert self._conn is not None
        data = await self._read(self._conn.read_data())
        if data is None:
            self._whole = True
            self.view.succeeded()
        return data

    def hold(self, size_bytes: int) -> None:
        """State how much of the answer is kept in memory; raise AttemptFailed for too much."""
        if size_bytes > ANSWER_BYTES:
            raise self.broken(f"the answer is larger than {ANSWER_BYTES} bytes")
        if not self._bodies.try_resize(self._held_bytes, size_bytes):
            raise self.broken("the answers of all requests take more than their memory")
        self._held_bytes = size_bytes

    def broken(self, reason: str) -> AttemptFailed:
        """Count a failure of the endpoint and return the error to raise."""
        self.view.failed(self._clock())
        return AttemptFailed(reason)

    async def _matching_head(self) -> AnswerHead:
        """Return the head of this request's answer; skip late answers to earlier requests."""
        conn = self._conn
        assert conn is not None
        for _ in range(SKIPPED_ANSWERS + 1):
            response = await conn.read_head()
            headers = tuple((n.decode(), v.decode("latin-1")) for n, v in response.headers)
            head = self._protocol.decode_head(response.status_code, headers)
            if head.request_id == self._ticket.call.request_id:
                return head
            if not head.request_id:
                # On a connection that was used before, it may answer an earlier request again.
                if head.not_run and not conn.reused:
                    return head
                raise AnswerLost(f"status {head.status} without a request id")
            logger.info(
                "skipped a late answer to request %s",
                head.request_id,
                extra={"request_id": self._ticket.call.request_id},
            )
            await self._skip_body(conn)
            conn.expect_another()
        raise AnswerLost(f"more than {SKIPPED_ANSWERS} answers to other requests")

    async def _skip_body(self, conn: EndpointConnection) -> None:
        size = 0
        while (data := await conn.read_data()) is not None:
            size += len(data)
            if size > ANSWER_BYTES:
                raise AnswerLost(f"an answer to another request over {ANSWER_BYTES} bytes")

    async def _read(self, step: Awaitable[T]) -> T:
        try:
            found = await step
            self.view.heard_s = self._clock()
            return found
        except (AnswerLost, BadMessage) as exc:
            if self._conn is None or not self._conn.reused or self._head is not None:
                self.view.failed(self._clock())
            raise AttemptFailed(f"answer lost: {exc}") from exc

    def _take_notices(self, head: AnswerHead) -> None:
        """Take what the endpoint says of further requests from this gateway."""
        if head.status == REPLACED:
            # The answer is that of another endpoint, which has the address now.
            return
        if head.leaving:
            self.view.leave()
        if head.pause_s is not None:
            self.view.pause(self._clock(), head.pause_s)

    def _refused(self, head: AnswerHead) -> None:
        if head.status == REPLACED:
            # The one that was meant got nothing.
            self._ticket.sends -= 1
            self.view.avoid(self._clock(), REPLACED_PAUSE_S, "its address has another endpoint")
        else:
            self.view.full(self._clock(), FULL_PAUSE_S)

    def _answered(self, head: AnswerHead | None) -> None:
        if self._prefilling:
            self._prefilling = False
            self.view.answered(self._prefill_tokens, head.load if head else None, self._clock())
