"""Waiting of requests for an endpoint."""

import asyncio
from collections.abc import Callable, Collection
from typing import NamedTuple

from cassiadrum.gateways.call_queues import CallQueue
from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placements import Demand, Placement
from cassiadrum.gateways.tickets import Ticket

__all__ = ["Placed", "Placer"]

# Part of its time that a request waits here for an endpoint before it is refused; the rest leaves
# its caller time to come back.
WAIT_PART = 0.35
# A long prompt is not sent on the ground of a load sample older than this.
KNOWN_S = 0.4
# Load reports that a request whose wait has ended may cost before it is refused.
ELSEWHERE_QUESTIONS = 3
# When a full service is expected to have room again.
FULL_RETRY_S = 0.5
# An endpoint that starts needs about this long to register.
NO_ENDPOINT_RETRY_S = 1.0


class Placed(NamedTuple):
    """Name the endpoint of an attempt, which counts the request from then on."""

    view: EndpointView
    # Prompt tokens that the endpoint is expected to read.
    prefill_tokens: int

    def describe(self, call: Call, now: float) -> dict[str, object]:
        """Return the inputs that decided the placement, for the log."""
        shared = call.prompt[:-1]
        return {
            "part": shared[-1].part_id if shared else "",
            "shared_tokens": sum(part.tokens for part in shared),
            "prefill_tokens": self.prefill_tokens,
            **self.view.describe(now),
        }


class Placer:
    """Give each request an endpoint, at once or when one has room."""

    def __init__(
        self,
        directory: EndpointDirectory,
        placement: Placement,
        make_prober: Callable[[Callable[[str], None]], LoadProber],
        clock: Callable[[], float],
    ) -> None:
        self.prober = make_prober(self.pump)
        self._directory = directory
        self._placement = placement
        self._clock = clock
        self._queues: dict[str, CallQueue[Ticket]] = {}
        self._waiting: dict[Ticket, asyncio.Future[Placed]] = {}

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for an endpoint of a service."""
        return len(self._queues.get(service, ()))

    def pause_s(self, service: str, exclude: Collection[str] = ()) -> float:
        """Return the seconds until an endpoint may be asked again, 0 when one may be asked now."""
        now = self._clock()
        views = self._directory.usable(service)
        ends = [view.paused_until_s for view in views if view.entry.instance not in exclude]
        return max(0.0, min(ends, default=now) - now)

    def others(self, ticket: Ticket) -> bool:
        """Return whether there is an endpoint that did not get the request."""
        views = self._directory.usable(ticket.service)
        return any(view.entry.instance not in ticket.tried for view in views)

    async def place(self, ticket: Ticket) -> Placed:
        """Return the endpoint for the next attempt; raise Refused when there is none in time.

        Before the endpoints are known the request waits. The caller ends it at the endpoint, by an
        Attempt.
        """
        if self._directory.listed and not self.others(ticket):
            raise Refused("no_endpoint", NO_ENDPOINT_RETRY_S)
        self._require_no_pause(ticket)
        views = self._directory.usable(ticket.service)
        view = self._find(ticket, views)
        if view is not None and self._has_earlier(ticket):
            # Room that came free since the last pump belongs to those that wait for it.
            self.pump(ticket.service)
            view = self._find(ticket, views)
        return await self._wait(ticket) if view is None else self._start(ticket, view)

    def pump(self, service: str) -> None:
        """Place what waits for a service, the most urgent first."""
        queue = self._queues.get(service)
        if not queue:
            return
        now = self._clock()
        views = self._directory.usable(service)
        paused = any(view.paused_until_s > now for view in views)
        for ticket in queue.ordered(now):
            fut = self._waiting[ticket]
            if fut.done():
                continue
            if paused:
                try:
                    self._require_no_pause(ticket)
                except Refused as exc:
                    queue.remove(ticket)
                    fut.set_exception(exc)
                    continue
            view = self._find(ticket, views)
            if view is not None:
                queue.remove(ticket)
                fut.set_result(self._start(ticket, view))

    def pump_all(self) -> None:
        """Place what waits for any service."""
        for service in self._queues:
            self.pump(service)

    def _has_earlier(self, ticket: Ticket) -> bool:
        """Return whether a waiting request goes before a new one."""
        queue = self._queues.get(ticket.service)
        return queue is not None and queue.precedes(ticket.urgency, ticket.target_s)

    def _find(self, ticket: Ticket, views: list[EndpointView]) -> EndpointView | None:
        """Return the endpoint that can take the request now; ask for its load where needed."""
        demand = _demand(ticket)
        now = self._clock()
        view, room = self._placement.choose(demand, views, now, ticket.tried)
        if view is None:
            return None
        if self._placement.is_long(demand) and not view.known(now, KNOWN_S):
            self.prober.refresh(view)
            room = room and not self.prober.pending(view)
        return view if room else None

    def _start(self, ticket: Ticket, view: EndpointView) -> Placed:
        placed = Placed(view, self._placement.uncached_tokens(ticket.call, view))
        view.start(placed.prefill_tokens)
        return placed

    async def _place_elsewhere(self, ticket: Ticket) -> Placed | None:
        """Return an endpoint that has room for a long prompt whose holder had none in time.

        Answers calm load with one hot part: less urgent requests begin at the other endpoints, so
        a refusal would put them first. The least urgent are refused, since reading a part again
        takes time from all others.
        """
        demand = _demand(ticket)
        if not ticket.has_less_urgent or not self._placement.is_long(demand):
            return None
        for _ in range(ELSEWHERE_QUESTIONS):
            views = self._directory.usable(ticket.service)
            found = self._placement.others_with_room(demand, views, self._clock(), ticket.tried)
            view = next(iter(found), None)
            if view is None:
                return None
            if view.known(self._clock(), KNOWN_S):
                return self._start(ticket, view)
            if not await self.prober.ask(view):
                return None
        return None

    async def _wait(self, ticket: Ticket) -> Placed:
        assert ticket.route is not None
        queue = self._queues.setdefault(ticket.service, CallQueue())
        fut: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        queue.push(ticket, ticket.urgency, ticket.target_s)
        try:
            async with asyncio.timeout(self._wait_s(ticket)):
                return await asyncio.shield(fut)
        except TimeoutError as exc:
            self._release(fut)
            if not self._directory.listed:
                raise Refused("endpoints_not_known", NO_ENDPOINT_RETRY_S) from exc
            placed = await self._place_elsewhere(ticket)
            if placed is not None:
                return placed
            raise Refused("overloaded", FULL_RETRY_S, **self._describe(ticket)) from exc
        except asyncio.CancelledError:
            self._release(fut)
            raise
        finally:
            queue.remove(ticket)
            del self._waiting[ticket]

    def _wait_s(self, ticket: Ticket) -> float:
        """Return the seconds that a request may wait here for its endpoint.

        A new process has no endpoint to offer until it has read the list, which takes one call.
        """
        wait_s = WAIT_PART * (ticket.deadline_s - ticket.received_s)
        return min(wait_s, ticket.target_ms / 1000) if self._directory.listed else wait_s

    def _require_no_pause(self, ticket: Ticket) -> None:
        """Raise Refused when all endpoints want nothing for longer than the request may wait."""
        pause_s = self.pause_s(ticket.service, ticket.tried)
        if pause_s > self._wait_s(ticket):
            raise Refused("endpoints_paused", pause_s)

    def _describe(self, ticket: Ticket) -> dict[str, object]:
        """Return what kept a request waiting."""
        now = self._clock()
        views = self._directory.usable(ticket.service)
        demand = _demand(ticket)
        view, _ = self._placement.choose(demand, views, now, ticket.tried)
        return {
            "endpoints": len(views),
            "outstanding": sum(view.outstanding(now) for view in views),
            "slots": sum(view.entry.slots for view in views),
            "waiting_at_endpoints": sum(view.waiting(now) for view in views),
            "waiting_here": self.waiting(ticket.service),
            **(view.describe(now) if view is not None else {}),
        }

    def _release(self, fut: asyncio.Future[Placed]) -> None:
        """Give back an endpoint that was found just as the wait ended."""
        if not fut.done():
            fut.cancel()
            return
        if fut.exception() is not None:
            return
        view, prefill_tokens = fut.result()
        view.answered(prefill_tokens, None, self._clock())
        view.end()


def _demand(ticket: Ticket) -> Demand:
    urgent = ticket.more_urgent
    return Demand(
        ticket.call, ticket.route_priority, ticket.target_ms, urgent.classes, urgent.gap_s
    )
