"""Queues of requests that wait for an endpoint."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.gateways.blocked_endpoints import BlockedEndpoints
from cassiadrum.gateways.call_queues import CallQueue
from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placement_policies import Demand, PlacementPolicy
from cassiadrum.gateways.request_contexts import RequestContext

__all__ = ["Assignment", "PlacementQueue"]

# Fraction of its timeout that a request may wait for an endpoint before it is refused; the rest
# leaves the caller time to retry.
MAX_WAIT_FRACTION = 0.35
# Maximum age of the load sample on which a long prompt is sent.
MAX_SAMPLE_AGE_S = 0.4
# Load reports requested on behalf of a request whose wait has ended, before it is refused.
MAX_LOAD_PROBES = 3
# Retry-After of refusals by a service without capacity.
OVERLOADED_RETRY_AFTER_S = 0.5
# An endpoint needs about this long to start and register.
NO_ENDPOINT_RETRY_AFTER_S = 1.0


class Assignment(NamedTuple):
    """The endpoint of an attempt; its view already counts the request."""

    view: EndpointView
    # Prompt tokens that are expected to miss the endpoint's prompt cache.
    prefill_tokens: int

    def describe(self, call: Call, now: float) -> dict[str, object]:
        """Return the inputs of the placement decision as log fields."""
        shared = call.prompt[:-1]
        return {
            "part": shared[-1].part_id if shared else "",
            "shared_tokens": sum(part.tokens for part in shared),
            "prefill_tokens": self.prefill_tokens,
            **self.view.describe(now),
        }


class PlacementQueue:
    """The requests that wait for an endpoint with capacity, and their assignment."""

    def __init__(
        self,
        directory: EndpointDirectory,
        policy: PlacementPolicy,
        make_prober: Callable[[Callable[[str], None]], LoadProber],
        clock: Callable[[], float],
    ) -> None:
        self.prober = make_prober(self.place_waiting)
        self.blocked = BlockedEndpoints(directory, clock)
        # Returns the instances that a request avoids while there are others with capacity.
        self.avoided: Callable[[RequestContext], set[str]] = lambda ctx: set()
        # Returns the endpoints among those of a request's service at which it may run.
        self.permitted: Callable[[RequestContext, list[EndpointView]], list[EndpointView]] = (
            lambda ctx, views: views
        )
        self._directory = directory
        self._policy = policy
        self._clock = clock
        self._queues: dict[str, CallQueue[RequestContext]] = {}
        self._futures: dict[RequestContext, asyncio.Future[Assignment]] = {}

    def waiting_count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self._queues.get(service, ()))

    def has_untried_endpoint(self, ctx: RequestContext) -> bool:
        """Return whether any endpoint of the service has not been tried for the request."""
        return bool(ctx.untried(self._usable(ctx)))

    def can_retry(self, ctx: RequestContext) -> bool:
        """Return whether an untried endpoint may get the request within its maximum wait."""
        untried = ctx.untried(self._usable(ctx))
        return self.blocked.min_wait_s(ctx, untried) <= self._max_wait_s(ctx)

    async def place(self, ctx: RequestContext) -> Assignment:
        """Return the endpoint for the next attempt; raise Refused if none is available in time.

        The request also waits until the list of endpoints has been read. The endpoint's view
        counts the request until the caller ends it there, through an Attempt.
        """
        assignment = self.try_place(ctx)
        return await self._wait(ctx) if assignment is None else assignment

    def try_place(self, ctx: RequestContext) -> Assignment | None:
        """Return the endpoint for the next attempt, None if none has capacity; raise Refused."""
        if self._directory.has_full_list and not self.has_untried_endpoint(ctx):
            raise self._no_endpoint(ctx)
        views = self._usable(ctx)
        self.blocked.check(ctx, views, self._max_wait_s(ctx))
        view = self._find_endpoint(ctx, views)
        if view is not None and self._is_preceded(ctx):
            # Capacity that became free since the queue was last processed goes to queued requests.
            self.place_waiting(ctx.service)
            view = self._find_endpoint(ctx, views)
        return None if view is None else self._assign(ctx, view)

    def try_return(self, ctx: RequestContext) -> Assignment | None:
        """Return an endpoint that was left since it was silent, None if none has capacity."""
        views = [view for view in self._usable(ctx) if view.entry.instance in ctx.left_silent]
        choice = self._policy.choose(_demand(ctx), views, self._clock())
        if choice.view is None or not choice.has_capacity:
            return None
        return self._assign(ctx, choice.view)

    def cancel(self, assignment: Assignment) -> None:
        """Undo an assignment whose request was not sent."""
        assignment.view.record_first_bytes(assignment.prefill_tokens, None, self._clock())
        assignment.view.record_end()

    def place_waiting(self, service: str) -> None:
        """Assign the queued requests of a service while endpoints have capacity."""
        queue = self._queues.get(service)
        if not queue:
            return
        now = self._clock()
        all_views = self._directory.usable(service)
        some_blocked = any(view.blocked_s(now) > 0.0 for view in all_views)
        for ctx in queue.ordered(now):
            fut = self._futures[ctx]
            if fut.done():
                continue
            views = self.permitted(ctx, all_views)
            try:
                if ctx.origin is not None and not ctx.untried(views):
                    # Others of its version are not to be expected.
                    raise self._no_endpoint(ctx)
                if some_blocked:
                    self.blocked.check(ctx, views, self._max_wait_s(ctx))
            except Refused as exc:
                queue.remove(ctx)
                fut.set_exception(exc)
                continue
            view = self._find_endpoint(ctx, views)
            if view is not None:
                queue.remove(ctx)
                fut.set_result(self._assign(ctx, view))

    def place_all_waiting(self) -> None:
        """Assign the queued requests of all services."""
        for service in self._queues:
            self.place_waiting(service)

    def refuse(self, find_refusal: Callable[[RequestContext], Refused | None]) -> None:
        """Refuse the queued requests for which a function returns a refusal."""
        for ctx, fut in list(self._futures.items()):
            exc = None if fut.done() else find_refusal(ctx)
            if exc is not None:
                self._queues[ctx.service].remove(ctx)
                fut.set_exception(exc)

    def _usable(self, ctx: RequestContext) -> list[EndpointView]:
        """Return the endpoints at which a request may run."""
        return self.permitted(ctx, self._directory.usable(ctx.service))

    def _no_endpoint(self, ctx: RequestContext) -> Refused:
        """Return the refusal of a request that no endpoint may get."""
        registered = len(self._directory.usable(ctx.service))
        if ctx.origin is not None:
            return Refused(
                "no_endpoint_of_version",
                NO_ENDPOINT_RETRY_AFTER_S,
                software=ctx.origin.version,
                endpoints=registered,
            )
        return Refused("no_endpoint", NO_ENDPOINT_RETRY_AFTER_S, endpoints=registered)

    def _is_preceded(self, ctx: RequestContext) -> bool:
        """Return whether a queued request goes before the given one."""
        queue = self._queues.get(ctx.service)
        return queue is not None and queue.has_preceding(ctx.urgency, ctx.target_s)

    def _find_endpoint(
        self, ctx: RequestContext, views: list[EndpointView]
    ) -> EndpointView | None:
        """Return an endpoint with capacity, or None; probe its load if the sample is too old."""
        demand = _demand(ctx)
        now = self._clock()
        view, has_capacity = self._policy.choose(demand, views, now, ctx.tried)
        if view is None:
            return None
        avoided = self.avoided(ctx)
        if view.entry.instance in avoided:
            other, has_other = self._policy.choose(demand, views, now, ctx.tried | avoided)
            if other is not None and has_other:
                view, has_capacity = other, has_other
        if self._policy.has_long_shared_prefix(demand) and _needs_sample(view, now):
            self.prober.probe_in_background(view)
            has_capacity = has_capacity and not self.prober.is_probing(view)
        return view if has_capacity else None

    def _assign(self, ctx: RequestContext, view: EndpointView) -> Assignment:
        assignment = Assignment(view, self._policy.uncached_tokens(ctx.call, view))
        view.record_start(assignment.prefill_tokens)
        ctx.assigned = view.entry.instance
        view.request_limit.take(self._clock())
        return assignment

    async def _place_at_alternative(self, ctx: RequestContext) -> Assignment | None:
        """Assign a long prompt whose prefix holder had no capacity in time to another endpoint.

        This covers moderate load with one hot prefix: less urgent requests are still admitted at
        the other endpoints, so refusing this one would invert priorities. Requests of the least
        urgent class are refused, since a repeated prefill takes time from all others.
        """
        demand = _demand(ctx)
        if not ctx.has_less_urgent or not self._policy.has_long_shared_prefix(demand):
            return None
        for _ in range(MAX_LOAD_PROBES):
            views = self._usable(ctx)
            found = self._policy.alternatives_with_capacity(
                demand, views, self._clock(), ctx.tried
            )
            view = next(iter(found), None)
            if view is None:
                return None
            if not _needs_sample(view, self._clock()):
                return self._assign(ctx, view)
            if not await self.prober.probe(view):
                return None
        return None

    async def _wait(self, ctx: RequestContext) -> Assignment:
        assert ctx.route is not None
        queue = self._queues.setdefault(ctx.service, CallQueue())
        fut: asyncio.Future[Assignment] = asyncio.get_running_loop().create_future()
        self._futures[ctx] = fut
        queue.push(ctx, ctx.urgency, ctx.target_s)
        try:
            async with asyncio.timeout(self._max_wait_s(ctx)):
                return await asyncio.shield(fut)
        except TimeoutError as exc:
            self._release(fut)
            if not self._directory.has_full_list:
                raise Refused("endpoints_not_known", NO_ENDPOINT_RETRY_AFTER_S) from exc
            assignment = await self._place_at_alternative(ctx)
            if assignment is not None:
                return assignment
            raise Refused(
                "overloaded", OVERLOADED_RETRY_AFTER_S, **self._describe_load(ctx)
            ) from exc
        except asyncio.CancelledError:
            self._release(fut)
            raise
        finally:
            # The request may already wait again by the time a cancelled wait ends.
            if self._futures.get(ctx) is fut:
                queue.remove(ctx)
                del self._futures[ctx]

    def _max_wait_s(self, ctx: RequestContext) -> float:
        """Return the maximum queueing time of a request in seconds.

        The latency target does not limit it until the list of endpoints has been read, which
        takes a new process one call to the store.
        """
        wait_s = MAX_WAIT_FRACTION * (ctx.deadline_s - ctx.received_s)
        return min(wait_s, ctx.target_ms / 1000) if self._directory.has_full_list else wait_s

    def _describe_load(self, ctx: RequestContext) -> dict[str, object]:
        """Return the load of the service's endpoints as log fields of a refusal."""
        now = self._clock()
        views = self._usable(ctx)
        demand = _demand(ctx)
        view, _ = self._policy.choose(demand, views, now, ctx.tried)
        return {
            "endpoints": len(views),
            "outstanding": sum(view.outstanding(now) for view in views),
            "slots": sum(view.entry.slots for view in views),
            "waiting_at_endpoints": sum(view.waiting(now) for view in views),
            "waiting_here": self.waiting_count(ctx.service),
            **(view.describe(now) if view is not None else {}),
        }

    def _release(self, fut: asyncio.Future[Assignment]) -> None:
        """Cancel a wait; undo an assignment that was made at the moment it ended."""
        if not fut.done():
            fut.cancel()
            return
        if fut.exception() is None:
            self.cancel(fut.result())


def _needs_sample(view: EndpointView, now: float) -> bool:
    """Return whether a long prompt needs a fresh load sample of the endpoint.

    An endpoint with a request limit gets too few requests for their load to matter, and a probe
    would take the place of one.
    """
    limited = view.request_limit.rate_per_s is not None
    return not limited and not view.has_sample_within(now, MAX_SAMPLE_AGE_S)


def _demand(ctx: RequestContext) -> Demand:
    urgent = ctx.more_urgent
    return Demand(ctx.call, ctx.route_priority, ctx.target_ms, urgent.classes, urgent.gap_s)
