"""Passing of endpoints' answers to the caller."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.gateways.attempts import Attempt, WholeAnswer
from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.gateways.tickets import Ticket
from cassiadrum.protocols import Exchange

__all__ = ["Relay"]

logger = logging.getLogger(__name__)

# An endpoint is given up for another one after these parts of the latency target without the
# first bytes, and these multiples of the longest pause between events.
FIRST_BYTES_PART = 1.2
PAUSE_MULTIPLE = 6.0
MIN_PAUSE_S = 1.0


class Relay:
    """Pass the answer to one request on as it arrives, over one or more attempts."""

    def __init__(
        self,
        ticket: Ticket,
        exchange: Exchange,
        clock: Callable[[], float],
    ) -> None:
        self._ticket = ticket
        self._exchange = exchange
        self._clock = clock
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
            async with asyncio.timeout(self._first_bytes_s()):
                head = await attempt.start(self._events.last_id)
        except TimeoutError as exc:
            attempt.view.failed(self._clock())
            raise AttemptFailed("no answer in time") from exc
        if route.kind is CallKind.STREAM and head.status < 300:
            await self._pass_stream(attempt)
            return
        answer = await attempt.read_whole()
        if head.status >= 500:
            attempt.view.failed(self._clock())
            self.failure = answer
            raise AttemptFailed(f"status {head.status}")
        await self._send(answer)

    async def _pass_stream(self, attempt: Attempt) -> None:
        self._events.restart()
        pause_s = self._pause_s()
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    data = await attempt.read()
            except TimeoutError as exc:
                attempt.view.failed(self._clock())
                raise AttemptFailed("the stream stalled") from exc
            if data is None:
                break
            whole = self._events.feed(data)
            if whole:
                self._put_stream_head(attempt)
                self._exchange.put_data(whole)
                await self._exchange.flush()
        self._events.end()
        self._put_stream_head(attempt)
        await self._exchange.end()

    def _put_stream_head(self, attempt: Attempt) -> None:
        if not self._exchange.started:
            head = attempt.head
            self._exchange.put_head(head.status, head.headers)

    async def _send(self, answer: WholeAnswer) -> None:
        headers = (*answer.head.headers, ("content-length", str(len(answer.body))))
        self._exchange.put_head(answer.head.status, headers)
        if self._exchange.req.method != "HEAD":
            self._exchange.put_data(answer.body)
        await self._exchange.end()

    def _first_bytes_s(self) -> float | None:
        """Return how long to wait for the head where another endpoint could take the request."""
        route = self._ticket.route
        assert route is not None
        if not route.repeatable or self._ticket.sends + 1 >= route.max_attempts:
            return None
        return FIRST_BYTES_PART * route.target_s

    def _pause_s(self) -> float | None:
        route = self._ticket.route
        assert route is not None
        if not route.resumable or self._ticket.sends >= route.max_attempts:
            return None
        return max(MIN_PAUSE_S, PAUSE_MULTIPLE * route.gap_s)
