"""One attempt of a request at one endpoint."""

import logging
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import NamedTuple, Self, TypeVar

from cassiadrum.gateways.answer_heads import AnswerHead
from cassiadrum.gateways.answer_readers import MAX_ANSWER_BYTES, read_own_head
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import HARMFUL_CONTENT, AttemptFailed
from cassiadrum.gateways.life_checks import FoundProcess
from cassiadrum.gateways.placement_policies import MIN_FIRST_BYTES_MS, PREFILL_TOKENS_PER_MS
from cassiadrum.gateways.placement_queues import Assignment
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.sent_requests import RequestKind
from cassiadrum.protocols import AnswerLost, BadMessage, ConnectFailed, MemoryBudget

__all__ = ["Attempt", "BufferedAnswer"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Time for which an endpoint that refused a request for lack of capacity gets no others.
FULL_PAUSE_S = 0.15
# Status 421, Misdirected Request: another endpoint answers at the address.
MISDIRECTED_STATUS = 421
# Time for which an endpoint whose address another one took over is avoided; its registration is
# expected to change within it.
MISDIRECTED_PAUSE_S = 5.0


class BufferedAnswer(NamedTuple):
    """A complete answer in memory."""

    head: AnswerHead
    body: bytes


class Attempt:
    """One request sent to an endpoint, and its answer; leaving the context ends the attempt.

    The connection is reused only if the answer was read completely; otherwise it is closed, which
    also makes the endpoint cancel the request.
    """

    def __init__(
        self,
        ctx: RequestContext,
        assignment: Assignment,
        pool: ConnectionPool,
        protocol: CallProtocol,
        answer_memory: MemoryBudget,
        clock: Callable[[], float],
        before_send: Callable[[], None] = lambda: None,
        on_begun: Callable[[], None] = lambda: None,
        find_process: Callable[[EndpointView], Awaitable[FoundProcess]] | None = None,
    ) -> None:
        self.view = assignment.view
        self._ctx = ctx
        self._pool = pool
        self._protocol = protocol
        # Memory budget shared by the unfinished answers of all attempts, and the part in use here.
        self._answer_memory = answer_memory
        self._reserved_bytes = 0
        self._clock = clock
        # Called when the connection is open; may raise Refused.
        self._before_send = before_send
        # Called when the endpoint has begun its answer and goes on.
        self._on_begun = on_begun
        # Returns which process answers at an endpoint's address.
        self._find_process = find_process
        # Whether the request was withdrawn because of what it holds.
        self._withdrawn = False
        self._prefill_tokens = assignment.prefill_tokens
        self._prefilling = True
        # Number of other requests at the endpoint that have no first bytes yet.
        self._queued_ahead = max(0, assignment.view.waiting(clock()) - 1)
        reading_ms = assignment.prefill_tokens / PREFILL_TOKENS_PER_MS
        self.expected_wait_s = (
            self._queued_ahead * assignment.view.wait_per_request_ms + reading_ms
        ) / 1000
        self._sent_s = 0.0
        self._target = assignment.view.entry.incarnation
        self._conn: EndpointConnection | None = None
        self._head: AnswerHead | None = None
        self._complete = False
        # Whether the endpoint may be about to begin its answer: the request was sent, and neither
        # a refusal nor a whole event or answer has been received.
        self.beginning = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._end_prefill(None)
        self.view.record_end()
        self._answer_memory.release(self._reserved_bytes)
        self._reserved_bytes = 0
        if self._conn is None:
            return
        if self._complete and self._head is not None:
            self._pool.release(self._target, self._conn, self._head.idle_s, self._clock())
        else:
            self._conn.abort()

    async def start(self, last_event_id: str) -> AnswerHead:
        """Send the request and return the head of its answer; raise AttemptFailed."""
        ctx = self._ctx
        assert ctx.route is not None
        once = ctx.route.kind is CallKind.ONCE
        # Unreachable endpoints count: otherwise a service that has no others would be retried
        # without end.
        ctx.tried.add(self.view.entry.instance)
        try:
            conn = await self._pool.acquire(self._target, self._clock(), recently_used=once)
        except ConnectFailed as exc:
            self.view.record_unreachable(self._clock())
            raise AttemptFailed(f"unreachable: {exc}", not_run=True) from exc
        self._conn = conn
        await self._check_incarnation(conn)
        self._before_send()
        if ctx.origin is not None and not ctx.origin.permits(self.view.entry.version):
            raise AttemptFailed("another software version than the stream's", not_run=True)
        call = ctx.call
        headers = self._protocol.encode_call(
            call,
            self.view.entry,
            customer=ctx.customer.name if ctx.customer else "",
            priority=ctx.urgency,
            timeout_s=ctx.deadline_s - self._clock(),
            last_event_id=last_event_id,
        )
        self._sent_s = self._clock()
        try:
            conn.send(call.method, call.target, headers, call.body)
        except BadMessage as exc:
            raise AttemptFailed(str(exc), not_run=True) from exc
        ctx.sent_s = ctx.sent_s or self._sent_s
        ctx.sends += 1
        ctx.deliveries += 1
        may_have_run_before = ctx.may_have_run
        ctx.may_have_run = True
        self.beginning = True
        self.view.record_sent(RequestKind.CALL)
        self.view.prompt_cache.add(call.prompt)
        head = await self._read(read_own_head(conn, self._protocol, call.request_id))
        self._apply_notices(head)
        if head.not_run:
            self.beginning = False
            ctx.may_have_run = may_have_run_before
            self._record_refusal(head)
            raise AttemptFailed(f"not run, status {head.status}", not_run=True)
        if head.encoded or (head.status < 300 and not head.signed):
            self.view.record_failure(self._clock())
            raise AttemptFailed("the answer is not the endpoint's")
        read_ms = MIN_FIRST_BYTES_MS + self._prefill_tokens / PREFILL_TOKENS_PER_MS
        wait_ms = (self._clock() - self._sent_s) * 1000 - read_ms
        self.view.update_wait_per_request(wait_ms, self._queued_ahead)
        self._end_prefill(head)
        self._head = head
        return head

    async def _check_incarnation(self, conn: EndpointConnection) -> None:
        """Raise AttemptFailed if a stream would begin or go on at another incarnation.

        An endpoint may start again under its name, also with other software, and its registration
        lags behind by up to a heartbeat. A connection stays with one process. A sound endpoint
        may pause, so that no answer tells nothing.
        """
        if conn.is_registered or not self._ctx.is_resumable or self._find_process is None:
            return
        found = await self._find_process(self.view)
        conn.is_registered = found is FoundProcess.REGISTERED
        if found is FoundProcess.OTHER:
            self.view.avoid(self._clock(), MISDIRECTED_PAUSE_S, "it has started again")
            raise AttemptFailed("the endpoint has started again", not_run=True)

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
            await self._check_end()
            self._complete = True
            self.view.record_success()
        return data

    @property
    def was_answered(self) -> bool:
        """Return whether the endpoint gave an answer; a stream without an event is none."""
        return self._head is not None and self._head.status < 300 and not self.beginning

    async def _check_end(self) -> None:
        """Raise AttemptFailed unless an answer without a length is known to be whole.

        An endpoint that crashes closes its connections like one that has sent its whole answer,
        and one that does not read the whole request may reset its connection after the end.
        """
        conn = self._conn
        assert conn is not None
        if not conn.ends_with_connection or self._find_process is None:
            return
        if await self._find_process(self.view) is not FoundProcess.REGISTERED:
            raise self.fail("the endpoint may have ended with its answer")
        if await conn.is_reset():
            raise self.fail("the connection was reset after the end of the answer")

    @property
    def lost(self) -> bool:
        """Return whether the endpoint closed the connection before the end of its answer."""
        return not self._complete and self._conn is not None and self._conn.closed_by_peer

    @property
    def lost_at_beginning(self) -> bool:
        """Return whether the connection ended while the endpoint may have begun its answer."""
        return self.beginning and self.lost

    @property
    def held_s(self) -> float:
        """Return the seconds since the request was sent."""
        return self._clock() - self._sent_s

    def record_begun(self) -> None:
        """Record that the endpoint has begun its answer and goes on."""
        if self.beginning:
            self.beginning = False
            self._on_begun()

    def withdraw(self) -> None:
        """Close the connection, so that the endpoint does not begin the answer."""
        self._withdrawn = True
        self.beginning = False
        if self._conn is not None:
            self._conn.abort()

    def reserve_memory(self, size_bytes: int) -> None:
        """Set the bytes of the answer that are buffered; raise AttemptFailed beyond a limit."""
        if size_bytes > MAX_ANSWER_BYTES:
            raise self.fail(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        if not self._answer_memory.try_resize(self._reserved_bytes, size_bytes):
            raise self.fail("the answers of all requests take more than their memory")
        self._reserved_bytes = size_bytes

    def fail(self, reason: str) -> AttemptFailed:
        """Record a failure of the endpoint and return the error to raise."""
        self.view.record_failure(self._clock())
        return AttemptFailed(reason)

    def leave(self, reason: str) -> AttemptFailed:
        """Record that the endpoint was silent and return the error to raise."""
        self.beginning = False
        instance = self.view.entry.instance
        if self._conn is None:
            # The request was not sent, and the endpoint may accept a later connection in time.
            self._ctx.tried.discard(instance)
        else:
            self._ctx.left_silent.add(instance)
        return self.fail(reason)

    async def _read(self, step: Awaitable[T]) -> T:
        try:
            found = await step
            self.view.last_received_s = self._clock()
            return found
        except (AnswerLost, BadMessage) as exc:
            if self._withdrawn:
                raise AttemptFailed(HARMFUL_CONTENT) from exc
            if self._conn is None or not self._conn.reused or self._head is not None:
                self.view.record_failure(self._clock())
            raise AttemptFailed(f"answer lost: {exc}") from exc

    def _apply_notices(self, head: AnswerHead) -> None:
        """Apply the notices that the endpoint sent with its answer."""
        if head.status == MISDIRECTED_STATUS:
            # The answer comes from another endpoint that has taken over the address.
            return
        self.view.request_limit.record_answer(head.limit, self._sent_s, self._clock())
        if head.leaving:
            self.view.mark_leaving()
        if head.pause_s is not None:
            self.view.mark_paused(self._clock(), head.pause_s)

    def _record_refusal(self, head: AnswerHead) -> None:
        if head.status == MISDIRECTED_STATUS:
            # The intended endpoint did not get the request.
            self._ctx.sends -= 1
            self.view.avoid(self._clock(), MISDIRECTED_PAUSE_S, "its address has another endpoint")
        else:
            self.view.mark_full(self._clock(), FULL_PAUSE_S)

    def _end_prefill(self, head: AnswerHead | None) -> None:
        if self._prefilling:
            self._prefilling = False
            self.view.record_first_bytes(
                self._prefill_tokens, head.load if head else None, self._clock()
            )
