"""Policy that selects the endpoint for a request."""

from collections.abc import Collection, Iterable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_views import EndpointView

__all__ = ["Choice", "Demand", "PlacementPolicy", "PlacementSettings"]


# Prefill speed of an engine that also serves other requests, and its minimum time to first byte.
PREFILL_TOKENS_PER_MS = 30.0
MIN_FIRST_BYTES_MS = 90.0
# Endpoints are scored again for each queued request whenever an endpoint changes, so hashes are
# cached.
HASH_CACHE_ENTRIES = 8192


class PlacementSettings(NamedTuple):
    """Weights of the placement policy; costs are in milliseconds of expected wait."""

    # Shared prompt parts with a shorter prefill than this are not bound to one endpoint.
    cheap_prefill_ms: float = 50.0
    # Fraction of its latency target that a request of priority 0 may wait for the prefill of
    # earlier prompts at an endpoint; half of it at priority 2, a third at priority 4.
    max_wait_fraction: float = 0.6
    # Prompts with a shorter prefill are not held back for more urgent streams: they delay them
    # little, and would otherwise be starved by long prompts that can wait longer.
    light_prefill_ms: float = 150.0
    # Fraction of the event gap allowed to more urgent streams; an endpoint whose average gap
    # exceeds it gets no less urgent work.
    max_gap_fraction: float = 0.6
    # Wait that each outstanding request at an endpoint adds to that of a new request.
    outstanding_ms: float = 6.0
    plain_outstanding_ms: float = 15.0
    other_zone_ms: float = 3.0
    failure_ms: float = 400.0
    cold_ms_per_s: float = 50.0


class Demand(NamedTuple):
    """The requirements of a request on an endpoint; the latency target is in milliseconds."""

    call: Call
    priority: int
    target_ms: float
    # Number of more urgent classes of streams at the service, and the shortest gap in seconds
    # that any of them allows between events.
    more_urgent_classes: int = 0
    more_urgent_gap_s: float = float("inf")

    @property
    def shared_tokens(self) -> int:
        """Return the number of tokens in the shared parts of the prompt."""
        return sum(part.tokens for part in self.call.prompt[:-1])


class Choice(NamedTuple):
    """The preferred endpoint; without `has_capacity` the request waits for it, or for any."""

    view: EndpointView | None
    has_capacity: bool


class PlacementPolicy:
    """The choice of the endpoint with the lowest expected cost, or of waiting at the gateway.

    The policy covers three load patterns:

    - Requests that share long prompt parts: all gateways rank the endpoints for a part by the
      same rendezvous hash, so one endpoint caches the part without messages between gateways.
    - Bursts of long prompts: a request is sent only where the prefill of earlier prompts leaves
      time for its latency target, and a lower priority allows less of it, so that short urgent
      prompts do not wait behind long ones. Long prompts wait for the endpoint that holds their
      parts, since repeated prefill on busy endpoints delays all requests.
    - Failing endpoints: recent failures count as wait, so that work moves away in proportion to
      them and returns as they age.
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

        Endpoints to avoid are used only if there are no others. Endpoints that are paused, or
        whose request limit permits no request now, are never used.
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
        """Return the endpoints with capacity for a long prompt and its whole prefill, best first.

        All gateways compute the same order for a shared part, so a part whose holder is
        overloaded is cached at one further endpoint, not at a different one for each request.
        """
        key = demand.call.prompt[-2].part_id
        usable = _selectable(views, now, exclude)
        found = [view for view in usable if self._has_capacity(demand, view, now)]
        return sorted(found, key=lambda view: _rendezvous_score(key, view), reverse=True)

    def uncached_tokens(self, call: Call, view: EndpointView) -> int:
        """Return the prompt tokens that are expected to miss the endpoint's prompt cache."""
        return max(0, call.prompt_tokens - view.prompt_cache.matched_tokens(call.prompt))

    def has_long_shared_prefix(self, demand: Demand) -> bool:
        """Return whether the prefill of the shared parts takes longer than `cheap_prefill_ms`."""
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
            # Engines admit it before less urgent prompts, which make up their backlog in a burst.
            return True
        limit_ms = demand.target_ms * cfg.max_wait_fraction / (1 + demand.priority / 2)
        return view.waiting(now) * view.wait_per_request_ms <= limit_ms

    def _has_long_prefill(self, demand: Demand) -> bool:
        """Return whether the prefill is long enough to delay the other streams of an endpoint."""
        return demand.call.prompt_tokens > self._cfg.light_prefill_ms * PREFILL_TOKENS_PER_MS

    def _keeps_urgent_on_time(self, demand: Demand, view: EndpointView, now: float) -> bool:
        """Return whether more urgent streams stay on time if the endpoint gets this request."""
        if not view.keeps_urgent_on_time(now, demand.more_urgent_classes):
            return False
        return view.gap_s(now) <= self._cfg.max_gap_fraction * demand.more_urgent_gap_s

    def _choose_prefix_holder(
        self, demand: Demand, views: list[EndpointView], now: float
    ) -> Choice:
        """Return the endpoint that is assigned to the shared parts by rendezvous hashing.

        The key is the last shared part, which stands for the longest shared prefix. All gateways
        choose the same endpoint and assume that it has the prefix in its cache.
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
        # Costs are rounded to milliseconds, so that endpoints with similar costs share the load.
        return round(cost), _rendezvous_score(call.request_id, view)


def _selectable(
    views: Iterable[EndpointView], now: float, exclude: Collection[str]
) -> list[EndpointView]:
    """Leave out blocked endpoints, and avoided ones if any others remain."""
    allowed = [
        view for view in views if view.entry.instance not in exclude and view.blocked_s(now) <= 0.0
    ]
    return [view for view in allowed if view.avoid_until_s <= now] or allowed


def _rendezvous_score(key: str, view: EndpointView) -> int:
    return _hash(key + view.entry.instance)


@lru_cache(maxsize=HASH_CACHE_ENTRIES)
def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())
