"""Choice of the endpoint for a request."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_views import EndpointView

__all__ = ["Demand", "Placement", "PlacementSettings"]


class PlacementSettings(NamedTuple):
    """Weights of the placement; costs are in milliseconds of the caller's wait."""

    prefill_tokens_per_ms: float = 30.0
    # Shared parts that are read in less time than this may be read anywhere.
    cheap_read_ms: float = 50.0
    # Part of its latency target that a request of priority 0 may wait at an endpoint for others'
    # prompts; half as much at priority 2, a third at priority 4.
    wait_part: float = 0.6
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

    @property
    def shared_tokens(self) -> int:
        """Return the length of the prompt's shared parts."""
        return sum(part.tokens for part in self.call.prompt[:-1])


class Placement:
    """Choose the endpoint with the least expected cost, or let the request wait here.

    Answers three load patterns. Requests that share long prompt parts: all gateways rank the
    endpoints for a part by the same hash, so a part is read at one endpoint without messages
    between gateways. Bursts of long prompts: a request is sent only where the prompts before it
    leave time for its target, the less the lower its priority, so short urgent prompts do not
    wait behind long ones; and a part is read at another endpoint only if that one is idle, since
    reading it again while all are busy makes all of them later. Endpoints that fail: recent
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
    ) -> EndpointView | None:
        """Return the endpoint, or None when the request should wait.

        Endpoints to avoid are taken where there is no other.
        """
        allowed = [view for view in views if view.entry.instance not in exclude]
        usable = [view for view in allowed if view.avoid_until_s <= now] or allowed
        open_views = [view for view in usable if self._has_room(demand, view, now)]
        if self._is_long(demand):
            open_views = self._holders_or_idle(demand, usable, open_views, now)
        return min(open_views, key=lambda view: self._cost(demand, view, now), default=None)

    def uncached_tokens(self, call: Call, view: EndpointView) -> int:
        """Return the prompt tokens that the endpoint is expected to read."""
        return max(0, call.prompt_tokens - view.cached.matched_tokens(call.prompt))

    def _is_long(self, demand: Demand) -> bool:
        cfg = self._cfg
        return demand.shared_tokens > cfg.cheap_read_ms * cfg.prefill_tokens_per_ms

    def _has_room(self, demand: Demand, view: EndpointView, now: float) -> bool:
        if view.outstanding(now) >= view.entry.slots:
            return False
        if not demand.call.prompt:
            return True
        limit_ms = demand.target_ms * self._cfg.wait_part / (1 + demand.priority / 2)
        return view.waiting(now) * view.turn_ms <= limit_ms

    def _holders_or_idle(
        self,
        demand: Demand,
        usable: list[EndpointView],
        open_views: list[EndpointView],
        now: float,
    ) -> list[EndpointView]:
        """Return the open endpoints that hold the shared parts, else those that are idle."""
        shared = demand.call.prompt[:-1]
        key = shared[-1].part_id
        home = max(usable, key=lambda view: _rank(key, view))
        holders = [
            view
            for view in open_views
            if view is home or view.cached.matched_tokens(shared) >= demand.shared_tokens
        ]
        return holders or [view for view in open_views if view.waiting(now) == 0]

    def _cost(self, demand: Demand, view: EndpointView, now: float) -> tuple[int, int]:
        cfg = self._cfg
        call = demand.call
        cost = view.failures(now) * cfg.failure_ms
        cost += view.entry.cold_s * cfg.cold_ms_per_s
        if view.entry.zone != self._zone:
            cost += cfg.other_zone_ms
        if call.prompt:
            cost += view.waiting(now) * view.turn_ms
            cost += view.outstanding(now) * cfg.outstanding_ms
            cost += self.uncached_tokens(call, view) / cfg.prefill_tokens_per_ms
        else:
            cost += view.outstanding(now) * cfg.plain_outstanding_ms
        # Whole milliseconds, so that endpoints which hardly differ share the work.
        return round(cost), _rank(call.request_id, view)


def _rank(key: str, view: EndpointView) -> int:
    return xxhash.xxh32_intdigest((key + view.entry.instance).encode())
