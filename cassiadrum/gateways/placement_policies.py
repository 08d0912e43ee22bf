"""Choice of the endpoint for a request."""

from collections.abc import Collection, Iterable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_views import EndpointView

__all__ = ["Choice", "Demand", "PlacementPolicy", "PlacementSettings"]


# Speed at which an engine reads a prompt beside other work, and its least time to the first bytes.
PREFILL_TOKENS_PER_MS = 30.0
MIN_FIRST_BYTES_MS = 90.0
# Waiting requests are ranked again at each change of an endpoint; the hashes of their parts stay.
HASH_CACHE_ENTRIES = 8192


class PlacementSettings(NamedTuple):
    """Weights of the placement; costs are in milliseconds of the caller's wait."""

    # Shared parts that are read in less time than this may be read anywhere.
    cheap_prefill_ms: float = 50.0
    # Part of its latency target that a request of priority 0 may wait at an endpoint for others'
    # prompts; half as much at priority 2, a third at priority 4.
    max_wait_fraction: float = 0.6
    # Prompts that are read in less time are let in beside urgent streams: they slow them little,
    # and would be shut out by heavier ones that can wait longer.
    light_prefill_ms: float = 150.0
    # Part of the pause allowed to more urgent streams above which an endpoint that goes on more
    # slowly gets nothing less urgent.
    max_gap_fraction: float = 0.6
    # What each request at the endpoint adds to the wait of a new one.
    outstanding_ms: float = 6.0
    plain_outstanding_ms: float = 15.0
    other_zone_ms: float = 3.0
    failure_ms: float = 400.0
    cold_ms_per_s: float = 50.0


class Demand(NamedTuple):
    """State what a request asks of an endpoint; the target is in milliseconds."""

    call: Call
    priority: int
    target_ms: float
    # The number of more urgent classes of streams at the service, and the shortest pause in
    # seconds that one of them may have between events.
    more_urgent_classes: int = 0
    more_urgent_gap_s: float = float("inf")

    @property
    def shared_tokens(self) -> int:
        """Return the length of the prompt's shared parts."""
        return sum(part.tokens for part in self.call.prompt[:-1])


class Choice(NamedTuple):
    """Name the best endpoint; without `room` the request should wait for it, or for any."""

    view: EndpointView | None
    has_capacity: bool


class PlacementPolicy:
    """Choose the endpoint with the least expected cost, or let the request wait here.

    Answers three load patterns. Requests that share long prompt parts: all gateways rank the
    endpoints for a part by the same hash, so a part is read at one endpoint without messages
    between gateways. Bursts of long prompts: a request is sent only where the prompts before it
    leave time for its target, the less the lower its priority, so short urgent prompts do not
    wait behind long ones; and they wait for the holder of their parts, since reading parts again
    while all endpoints are busy makes all of them later. Endpoints that fail: recent
    failures count as wait, so work moves away in proportion and returns as they age.
    """

    def __init__(self, zone: str, cfg: PlacementSettings | None = None) -> None:
        self._zone = zone
        self._cfg = cfg or PlacementSettings()

    def choose(
        self,
        demand: Demand,
        views: Iterable[EndpointView],
        now: float,
        exclude: Collection[str] = (),
    ) -> Choice:
        """Return the endpoint to send the request to, or to wait for.

        Endpoints to avoid are taken where there is no other, those that asked for a pause never.
        """
        usable = _selectable(views, now, exclude)
        if self.has_long_shared_prefix(demand):
            return self._choose_prefix_holder(demand, usable, now)
        open_views = [view for view in usable if self._has_capacity(demand, view, now)]
        best = min(open_views, key=lambda view: self._cost(demand, view, now), default=None)
        return Choice(best, best is not None)

    def alternatives_with_capacity(
        self,
        demand: Demand,
        views: Iterable[EndpointView],
        now: float,
        exclude: Collection[str] = (),
    ) -> list[EndpointView]:
        """Return the endpoints that could read all of a long prompt now, in the part's order.

        The order is the same at all gateways, so a part that its holder has no time for gets one
        further holder and not one for each request.
        """
        key = demand.call.prompt[-2].part_id
        usable = _selectable(views, now, exclude)
        found = [view for view in usable if self._has_capacity(demand, view, now)]
        return sorted(found, key=lambda view: _rendezvous_score(key, view), reverse=True)

    def uncached_tokens(self, call: Call, view: EndpointView) -> int:
        """Return the prompt tokens that the endpoint is expected to read."""
        return max(0, call.prompt_tokens - view.prompt_cache.matched_tokens(call.prompt))

    def has_long_shared_prefix(self, demand: Demand) -> bool:
        """Return whether the shared parts take long to read."""
        cfg = self._cfg
        return demand.shared_tokens > cfg.cheap_prefill_ms * PREFILL_TOKENS_PER_MS

    def _has_capacity(self, demand: Demand, view: EndpointView, now: float) -> bool:
        cfg = self._cfg
        if view.full_until_s > now or view.outstanding(now) >= view.entry.slots:
            return False
        if not demand.call.prompt:
            return True
        yields_to_urgent = demand.more_urgent_classes > 0 and self._has_long_prefill(demand)
        if yields_to_urgent and not self._keeps_urgent_on_time(demand, view, now):
            return False
        if not self.has_long_shared_prefix(demand):
            # Engines admit it before less urgent prompts, which are what waits there in a burst.
            return True
        limit_ms = demand.target_ms * cfg.max_wait_fraction / (1 + demand.priority / 2)
        return view.waiting(now) * view.wait_per_request_ms <= limit_ms

    def _has_long_prefill(self, demand: Demand) -> bool:
        """Return whether reading the prompt keeps the streams of an endpoint waiting."""
        return demand.call.prompt_tokens > self._cfg.light_prefill_ms * PREFILL_TOKENS_PER_MS

    def _keeps_urgent_on_time(self, demand: Demand, view: EndpointView, now: float) -> bool:
        """Return whether more urgent streams at an endpoint stay on time beside the request."""
        if not view.keeps_urgent_on_time(now, demand.more_urgent_classes):
            return False
        return view.gap_s(now) <= self._cfg.max_gap_fraction * demand.more_urgent_gap_s

    def _choose_prefix_holder(
        self, demand: Demand, views: list[EndpointView], now: float
    ) -> Choice:
        """Return the endpoint that holds the shared parts.

        All gateways rank the same endpoint first for the longest run of shared parts, and count
        on its holding them.
        """
        key = demand.call.prompt[-2].part_id
        holder = max(views, key=lambda view: _rendezvous_score(key, view), default=None)
        return Choice(holder, holder is not None and self._has_capacity(demand, holder, now))

    def _cost(self, demand: Demand, view: EndpointView, now: float) -> tuple[int, int]:
        cfg = self._cfg
        call = demand.call
        cost = view.failures(now) * cfg.failure_ms
        cost += view.entry.cold_s * cfg.cold_ms_per_s
        if view.entry.zone != self._zone:
            cost += cfg.other_zone_ms
        if call.prompt:
            cost += view.waiting(now) * view.wait_per_request_ms
            cost += view.outstanding(now) * cfg.outstanding_ms
            cost += view.gap_s(now) * 1000
        else:
            cost += view.outstanding(now) * cfg.plain_outstanding_ms
        # Whole milliseconds, so that endpoints which hardly differ share the work.
        return round(cost), _rendezvous_score(call.request_id, view)


def _selectable(
    views: Iterable[EndpointView], now: float, exclude: Collection[str]
) -> list[EndpointView]:
    """Leave out who asked for a pause, and who is to be avoided where there is another one."""
    allowed = [
        view for view in views if view.entry.instance not in exclude and view.paused_until_s <= now
    ]
    return [view for view in allowed if view.avoid_until_s <= now] or allowed


def _rendezvous_score(key: str, view: EndpointView) -> int:
    return _hash(key + view.entry.instance)


@lru_cache(maxsize=HASH_CACHE_ENTRIES)
def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
