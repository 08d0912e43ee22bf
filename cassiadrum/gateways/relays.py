"""Passing of endpoints' answers to the caller."""

import logging
from collections.abc import Callable
from math import inf

from cassiadrum.gateways.attempts import Attempt, WholeAnswer
from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.gateways.tickets import Ticket
from cassiadrum.protocols import Exchange

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

# An endpoint that sends nothing for any request is given up for another one after these parts of
# the latency target before the first bytes, and multiples of the longest pause between events.
FIRST_BYTES_PART = 0.5
PAUSE_MULTIPLE = 6.0
MIN_SILENCE_S = 0.6
# Multiple of the expected wait that is granted besides.
EXPECTED_MULTIPLE = 2.0
# Bytes of a plain answer that count as progress; less than that may be drip by drip.
PROGRESS_BYTES = 4 * 1024
# One that is busy with other requests is given up after this part of the route's time.
BUSY_PART = 0.4


class Relay:
    """Pass the answer to one request on as it arrives, over one or more attempts."""

    def __init__(
        self,
        ticket: Ticket,
        exchange: Exchange,
        log: DecisionLog,
        clock: Callable[[], float],
        prober: LoadProber,
        may_repeat: Callable[[], bool],
    ) -> None:
        self._ticket = ticket
        self._exchange = exchange
        self._log = log
        self._clock = clock
        self._prober = prober
        # Whether the budget of repeated attempts has room.
        self._may_repeat = may_repeat
        self._events = EventSequence(ticket.call.last_event_id)
        # The last answer of an endpoint that says that it failed.
        self.failure: WholeAnswer | None = None

    @property
    def started(self) -> bool:
        """Return whether the caller has got a part of the answer."""
        return self._exchange.started

    async def pass_failure(self) -> None:
        """Send the endpoint's own failure."""
        assert self.failure is not None
        await self._send(self.failure)

    async def run(self, attempt: Attempt) -> None:
        """Make an attempt and pass the answer on; raise AttemptFailed."""
        route = self._ticket.route
        assert route is not None
        try:
            async with self._silence_limit(attempt, self._first_bytes_s(attempt)):
                head = await attempt.start(self._events.last_id)
        except TimeoutError as exc:
            raise attempt.broken("no answer in time") from exc
        self._log.note(
            self._ticket,
            "first bytes",
            endpoint=attempt.view.entry.instance,
            status=head.status,
            load=head.load,
        )
        if route.kind is CallKind.STREAM and head.status < 300:
            await self._pass_stream(attempt)
            return
        answer = await self._read_whole(attempt)
        if head.status >= 500:
            attempt.view.failed(self._clock())
            self.failure = answer
            raise AttemptFailed(f"status {head.status}")
        await self._send(answer)

    async def _read_whole(self, attempt: Attempt) -> WholeAnswer:
        """Return a plain answer; one that hardly goes on is given up as a silent one is."""
        silence_s = self._first_bytes_s(attempt)
        progress_s = self._clock()
        # Joined once: many buffers that grow side by side leave several times their size in holes.
        parts: list[bytes] = []
        size = 0
        progress_bytes = PROGRESS_BYTES
        while True:
            try:
                async with self._silence_limit(attempt, silence_s, progress_s):
                    data = await attempt.read()
            except TimeoutError as exc:
                raise attempt.broken("the answer stalled") from exc
            if data is None:
                return WholeAnswer(attempt.head, b"".join(parts))
            parts.append(data)
            size += len(data)
            attempt.hold(size)
            if size >= progress_bytes:
                progress_bytes = size + PROGRESS_BYTES
                progress_s = self._clock()

    async def _pass_stream(self, attempt: Attempt) -> None:
        self._events.restart()
        pause_s = self._pause_s()
        route = self._ticket.route
        assert route is not None
        strictest_s = min(route.gap_s or inf, self._ticket.more_urgent.gap_s)
        progress_s = self._clock()
        longest_s = 0.0
        # The time before the first event of an attempt is no pause.
        begun = False
        while True:
            try:
                async with self._silence_limit(attempt, pause_s, progress_s):
                    data = await attempt.read()
            except TimeoutError as exc:
                raise attempt.broken("the stream stalled") from exc
            if data is None:
                break
            before = self._events.count
            whole = self._feed(attempt, data)
            if self._events.count > before:
                # Bytes and comments that never make up an event are no progress.
                now = self._clock()
                longest_s = max(longest_s, now - progress_s)
                if begun:
                    count = self._events.count - before
                    attempt.view.take_gap((now - progress_s) / count, strictest_s, now)
                begun = True
                progress_s = now
            if whole:
                self._put_stream_head(attempt)
                self._exchange.buffer_data(whole)
                flushed_s = self._clock()
                await self._exchange.flush()
                # A caller that reads slowly is no fault of the endpoint.
                progress_s += self._clock() - flushed_s
        self._events.end()
        self._put_stream_head(attempt)
        await self._exchange.end()
        self._log.note(
            self._ticket,
            "stream ended",
            events=self._events.count,
            longest_pause_ms=round(longest_s * 1000),
        )

    def _feed(self, attempt: Attempt, data: bytes) -> bytes:
        """Return the events that have become whole; raise AttemptFailed."""
        try:
            whole = self._events.feed(data)
        except AttemptFailed as exc:
            raise attempt.broken(exc.reason) from exc
        attempt.hold(self._events.held_bytes)
        return whole

    def _put_stream_head(self, attempt: Attempt) -> None:
        if not self._exchange.started:
            head = attempt.head
            self._exchange.buffer_head(head.status, head.headers)

    async def _send(self, answer: WholeAnswer) -> None:
        headers = (*answer.head.headers, ("content-length", str(len(answer.body))))
        self._exchange.buffer_head(answer.head.status, headers)
        if self._exchange.req.method != "HEAD":
            self._exchange.buffer_data(answer.body)
        await self._exchange.end()

    def _first_bytes_s(self, attempt: Attempt) -> float | None:
        """Return how long the endpoint may be silent before the first bytes."""
        route = self._ticket.route
        assert route is not None
        if not route.repeatable:
            return None
        if route.kind is CallKind.STREAM:
            limit_s = max(MIN_SILENCE_S, FIRST_BYTES_PART * route.target_s)
            return limit_s + EXPECTED_MULTIPLE * attempt.expected_wait_s
        return route.target_s

    def _pause_s(self) -> float | None:
        """Return how long the endpoint may be silent within a stream."""
        route = self._ticket.route
        assert route is not None
        if not route.resumable:
            return None
        return max(MIN_SILENCE_S, PAUSE_MULTIPLE * route.gap_s)

    def _silence_limit(
        self, attempt: Attempt, silence_s: float | None, since_s: float | None = None
    ) -> SilenceLimit:
        """Return the limit on a wait for bytes of the answer."""
        route = self._ticket.route
        assert route is not None
        prober = self._prober if route.kind is CallKind.STREAM else None
        longest_s = max(silence_s or 0.0, BUSY_PART * route.timeout_s)
        return SilenceLimit(attempt.view, silence_s, longest_s, self._may_repeat, prober, since_s)
