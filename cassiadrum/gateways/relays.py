"""Forwarding of endpoint answers to the caller."""

import logging
from collections.abc import Callable
from math import inf

from cassiadrum.gateways.attempts import Attempt, BufferedAnswer
from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.request_retries import RequestRetries
from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.gateways.silence_rules import (
    body_limit_s,
    event_limit_s,
    first_bytes_limit_s,
    max_wait_s,
)
from cassiadrum.gateways.stream_origins import StreamOrigins
from cassiadrum.protocols import Exchange

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

# A plain answer has to advance by this many bytes to count as progress, so that an endpoint that
# sends single bytes counts as stalled.
MIN_PROGRESS_BYTES = 4 * 1024
EVENT_STREAM = "text/event-stream"
# Memory of the object that holds a part of a plain answer, besides its bytes.
PART_OVERHEAD_BYTES = 64


class Relay:
    """The way of one answer to the caller as it arrives, over one or more attempts."""

    def __init__(
        self,
        ctx: RequestContext,
        exchange: Exchange,
        log: DecisionLog,
        clock: Callable[[], float],
        prober: LoadProber,
        retries: RequestRetries,
        origins: StreamOrigins,
    ) -> None:
        self._ctx = ctx
        self._exchange = exchange
        self._log = log
        self._clock = clock
        self._prober = prober
        self.retries = retries
        self._origins = origins
        self._events = EventSequence(ctx.call.last_event_id)
        # The last answer of an endpoint with a status of 500 or above.
        self.failure: BufferedAnswer | None = None

    @property
    def started(self) -> bool:
        """Return whether a part of the answer has been sent to the caller."""
        return self._exchange.started

    @property
    def can_continue(self) -> bool:
        """Return whether another attempt may answer, or go on with what the caller has."""
        return not self.started or self._events.resumable

    def try_return(self) -> bool:
        """Reserve a retry at a silent endpoint; an error answer of another one goes before it."""
        return self.can_continue and self.failure is None and self.retries.try_return()

    async def send_failure(self) -> None:
        """Send the last error answer of an endpoint to the caller."""
        assert self.failure is not None
        await self._send(self.failure)

    async def run(self, attempt: Attempt) -> None:
        """Make an attempt and forward the answer; raise AttemptFailed."""
        route = self._ctx.route
        assert route is not None
        try:
            silence_s = first_bytes_limit_s(route, attempt.expected_wait_s)
            async with self._silence_limit(attempt, silence_s):
                head = await attempt.start(self._events.last_id)
        except TimeoutError as exc:
            raise attempt.leave("no answer in time") from exc
        self._log.record(
            self._ctx,
            "first bytes",
            endpoint=attempt.view.entry.instance,
            status=head.status,
            load=head.load,
        )
        is_stream = head.status < 300 and head.media_type in (EVENT_STREAM, None)
        if self.started and not (head.status == 200 and head.media_type == EVENT_STREAM):
            # Its bytes would be the text of an error in the middle of the caller's stream.
            raise attempt.fail(f"status {head.status}, {head.media_type}, in place of a stream")
        if route.kind is CallKind.STREAM and is_stream:
            await self._pass_stream(attempt)
            return
        answer = await self._read_plain_answer(attempt)
        if head.status >= 500:
            attempt.view.record_failure(self._clock())
            self.failure = answer
            raise AttemptFailed(f"status {head.status}")
        await self._send(answer)

    async def _read_plain_answer(self, attempt: Attempt) -> BufferedAnswer:
        """Return a plain answer; one that makes no progress is given up like a silent one."""
        route = self._ctx.route
        assert route is not None
        silence_s = body_limit_s(route, self._ctx.deadline_s - self._ctx.received_s)
        progress_s = self._clock()
        # Joined once, since many buffers that grow concurrently fragment the heap to several times
        # their size.
        parts: list[bytes] = []
        size = 0
        progress_bytes = MIN_PROGRESS_BYTES
        while True:
            try:
                async with self._silence_limit(attempt, silence_s, progress_s):
                    data = await attempt.read()
            except TimeoutError as exc:
                raise attempt.leave("the answer stalled") from exc
            if data is None:
                attempt.record_begun()
                return BufferedAnswer(attempt.head, b"".join(parts))
            parts.append(data)
            size += len(data)
            attempt.reserve_memory(size + len(parts) * PART_OVERHEAD_BYTES)
            if size >= progress_bytes:
                progress_bytes = size + MIN_PROGRESS_BYTES
                progress_s = self._clock()

    async def _pass_stream(self, attempt: Attempt) -> None:
        self._events.begin_attempt()
        route = self._ctx.route
        assert route is not None
        silence_s = event_limit_s(route)
        min_gap_s = min(route.gap_s or inf, self._ctx.more_urgent.gap_s)
        progress_s = self._clock()
        longest_gap_s = 0.0
        # The time before the first event of an attempt is not a gap.
        has_events = False
        while True:
            try:
                async with self._silence_limit(attempt, silence_s, progress_s):
                    data = await attempt.read()
            except TimeoutError as exc:
                raise attempt.leave("the stream stalled") from exc
            if data is None:
                break
            before = self._events.data_events
            complete = self._feed(attempt, data)
            if self._events.data_events > before:
                # Bytes and comments that do not complete an event are not progress.
                attempt.record_begun()
                now = self._clock()
                longest_gap_s = max(longest_gap_s, now - progress_s)
                if has_events:
                    count = self._events.data_events - before
                    attempt.view.record_event_gap((now - progress_s) / count, min_gap_s, now)
                has_events = True
                progress_s = now
            if complete:
                await self._origins.confirm(self._ctx, attempt.view)
                self._put_stream_head(attempt)
                self._exchange.buffer_data(complete)
                flushed_s = self._clock()
                await self._exchange.flush()
                # Time spent waiting for a slow caller does not count against the endpoint.
                progress_s += self._clock() - flushed_s
        self._events.end()
        self._put_stream_head(attempt)
        await self._exchange.end()
        self._log.record(
            self._ctx,
            "stream ended",
            events=self._events.data_events,
            longest_pause_ms=round(longest_gap_s * 1000),
        )

    def _feed(self, attempt: Attempt, data: bytes) -> bytes:
        """Return the events completed by the data; raise AttemptFailed."""
        try:
            complete = self._events.feed(data)
        except AttemptFailed as exc:
            raise attempt.fail(exc.reason) from exc
        attempt.reserve_memory(self._events.buffered_bytes)
        return complete

    def _put_stream_head(self, attempt: Attempt) -> None:
        if not self._exchange.started:
            head = attempt.head
            self._exchange.buffer_head(head.status, head.headers)

    async def _send(self, answer: BufferedAnswer) -> None:
        headers = (*answer.head.headers, ("content-length", str(len(answer.body))))
        self._exchange.buffer_head(answer.head.status, headers)
        if self._exchange.req.method != "HEAD":
            self._exchange.buffer_data(answer.body)
        await self._exchange.end()

    def _silence_limit(
        self, attempt: Attempt, silence_s: float | None, since_s: float | None = None
    ) -> SilenceLimit:
        """Return the time limit on a wait for bytes of the answer."""
        route = self._ctx.route
        assert route is not None
        prober = self._prober if route.kind is CallKind.STREAM else None
        return SilenceLimit(
            attempt.view,
            silence_s,
            max_wait_s(route, silence_s),
            lambda: self.can_continue and self.retries.is_possible(),
            prober,
            since_s,
            self.retries,
        )
