"""Choice of the endpoint for a request."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import xxhash

from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_views import EndpointView

__all__ = ["Placement", "PlacementSettings"]


class PlacementSettings(NamedTuple):
    """Weights of the placement; costs are in milliseconds of the caller's wait."""

    prefill_tokens_per_ms: float = 50.0
    # Reading a shared part again also takes memory and slows the streams beside it.
    reread_weight: float = 2.5
    # What each request at the endpoint adds to the wait of a new one.
    outstanding_ms: float = 6.0
    plain_outstanding_ms: float = 15.0
    other_zone_ms: float = 3.0
    failure_ms: float = 400.0
    cold_ms_per_s: float = 50.0
    # Part of the slots that may be taken; the rest absorbs what other gateways send meanwhile.
    fill: float = 1.0


class Placement:
    """Choose the endpoint with the least expected cost.

    Answers two load patterns. Requests that share long prompt parts: all gateways rank the
    endpoints for a part by the same hash, so a part is read at one endpoint without messages
    between gateways, and moves to the next in rank when the wait there exceeds the reading.
    Endpoints that fail or fall silent: recent failures count as wait, so work moves away in
    proportion and returns as they age.
    """

    def __init__(self, zone: str, cfg: PlacementSettings | None = None) -> None:
        self._zone = zone
        self._cfg = cfg or PlacementSettings()

    def choose(
        self, call: Call, views: Iterable[EndpointView], now: float, exclude: Collection[str] = ()
    ) -> EndpointView | None:
        """Return the endpoint, or None when none may take the request now.

        Endpoints to avoid are taken where there is no other.
        """
        open_views = [
            view
            for view in views
            if view.entry.instance not in exclude and self._has_room(view, now)
        ]
        usable = [view for view in open_views if view.avoid_until_s <= now] or open_views
        if not usable:
            return None
        home = self._home(call, usable)
        return min(usable, key=lambda view: self._cost(call, view, home, now))

    def uncached_tokens(self, call: Call, view: EndpointView) -> int:
        """Return the prompt tokens that the endpoint is expected to read."""
        return max(0, call.prompt_tokens - view.cached.matched_tokens(call.prompt))

    def _has_room(self, view: EndpointView, now: float) -> bool:
        return view.outstanding(now) < max(1.0, view.entry.slots * self._cfg.fill)

    def _home(self, call: Call, views: list[EndpointView]) -> EndpointView | None:
        """Return the endpoint that ranks first for the longest shared run of parts."""
        shared = call.prompt[:-1]
        if not shared:
            return None
        key = shared[-1].part_id
        return max(views, key=lambda view: _rank(key, view))

    def _cost(
        self, call: Call, view: EndpointView, home: EndpointView | None, now: float
    ) -> tuple[int, int]:
        cfg = self._cfg
        cost = view.failures(now) * cfg.failure_ms
        cost += view.entry.cold_s * cfg.cold_ms_per_s
        if view.entry.zone != self._zone:
            cost += cfg.other_zone_ms
        if call.prompt:
            shared_tokens = sum(part.tokens for part in call.prompt[:-1])
            if view is home:
                missing = 0
            else:
                missing = shared_tokens - view.cached.matched_tokens(call.prompt[:-1])
            cost += cfg.reread_weight * missing / cfg.prefill_tokens_per_ms
            cost += view.prefill_tokens / cfg.prefill_tokens_per_ms
            cost += view.outstanding(now) * cfg.outstanding_ms
        else:
            cost += view.outstanding(now) * cfg.plain_outstanding_ms
        # Whole milliseconds, so that endpoints which hardly differ share the work.
        return round(cost), _rank(call.request_id, view)


def _rank(key: str, view: EndpointView) -> int:
    return xxhash.xxh32_intdigest((key + view.entry.instance).encode())
