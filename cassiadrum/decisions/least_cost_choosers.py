"""Endpoint selection by estimated cost."""

from collections.abc import Collection, Mapping
from random import Random

from cassiadrum.decisions.capability_indexes import CapabilityIndex
from cassiadrum.decisions.cost_estimators import CostEstimator
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.endpoint_states import SLOW_START_S, EndpointState
from cassiadrum.decisions.health_states import HealthState
from cassiadrum.decisions.outlier_detectors import OutlierDetector
from cassiadrum.decisions.prefix_indexes import PrefixIndex
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.defaults import LIMITS

__all__ = ["LeastCostChooser"]

# The number of candidates per choice is this plus the binary logarithm of the number of endpoints.
# Small subsets are compared almost completely, and the cost of a choice stays logarithmic.
BASE_CANDIDATES = 4
AFFINITY_CANDIDATES = 4
# With 64 endpoints, limits the prefix index to 32,768 entries of a few hundred bytes each.
PREFIX_KEYS_PER_ENDPOINT = 512
MAX_REMOVED_ENDPOINTS = 256
# A sidecar reports a change within this time.
REJECT_BACKOFF_S = LIMITS.REPORT_MIN_INTERVAL_S


class LeastCostChooser(EndpointChooser):
    """Chooser of the endpoint with the lowest estimated cost among a few candidates.

    Candidates are random endpoints with a free slot, and endpoints that presumably have the
    longest part of the prompt in their cache. The cost, in seconds, sums queueing, uncached
    prefill, slowdown, silence and the round trip between zones. `zone_rtts_s` maps zones to the
    round-trip time in seconds. `operations` counts the steps of all choices. A protected request
    may also go to a full endpoint's short queue, where the sidecar preempts other streams for it.
    """

    def __init__(
        self,
        rng: Random,
        zone: str = "",
        zone_rtts_s: Mapping[str, float] | None = None,
        streams_tokens: bool = True,
        prefix_keys_per_endpoint: int = PREFIX_KEYS_PER_ENDPOINT,
    ) -> None:
        self.operations = 0
        self._rng = rng
        self._costs = CostEstimator(zone, zone_rtts_s or {}, streams_tokens)
        self._detector = OutlierDetector(streams_tokens)
        # Calls to plain services are short, so a slot that idles for a round trip between two of
        # them loses much of its capacity.
        self._min_overcommit = 0 if streams_tokens else 1
        self._prefixes = PrefixIndex(prefix_keys_per_endpoint)
        self._states: dict[str, EndpointState] = {}
        self._with_free_slot = CapabilityIndex()
        # Endpoints with queue space for protected requests.
        self._with_queue_space = CapabilityIndex()
        # Endpoints that are neither leaving nor ejected, in order of arrival.
        self._available: dict[str, None] = {}
        # Endpoints that recently rejected a request, in order of the rejections.
        self._rejecting: dict[str, None] = {}
        self._free_slots: dict[str, int] = {}
        self._total_free_slots = 0
        self._first_report_s: float | None = None
        self._removed_reported_s: dict[str, float] = {}
        self._last_report_s = float("-inf")

    def report(self, rep: EndpointReport, now: float) -> None:
        """Apply a load report; duplicates and reports older than the last one are ignored."""
        self._last_report_s = max(self._last_report_s, now)
        state = self._states.get(rep.instance)
        was_leaving = state is not None and state.report.leaving
        applied = state.apply_report(rep, now) if state else self._add(rep, now)
        if not applied:
            return
        if rep.leaving != was_leaving:
            self._enforce_ejection_bound(now)
        self._update_indexes(rep.instance, now)
        self._end_reject_backoffs(now)
        self._check_outliers(now)

    def remove(self, instance: str) -> None:
        """Remove an endpoint; its reports up to now that are still in transit are ignored."""
        state = self._states.pop(instance, None)
        if state is None:
            return
        self._removed_reported_s[instance] = state.report.reported_s
        if len(self._removed_reported_s) > MAX_REMOVED_ENDPOINTS:
            del self._removed_reported_s[next(iter(self._removed_reported_s))]
        self._prefixes.remove(instance)
        self._remove_available(instance)
        self._enforce_ejection_bound(self._last_report_s)

    def dispatched(self, instance: str, req: QueuedRequest, now: float) -> None:
        """Count a dispatch, after which the prompt's prefixes are assumed to be cached."""
        state = self._states.get(instance)
        if state is None:
            return
        state.start(req.request_id, self._uncached_tokens(instance, req), now)
        self._prefixes.add(instance, req.prefix_keys)
        self._update_indexes(instance, now)

    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> None:
        """Count the tokens that arrived for a stream since the last call."""
        state = self._states.get(instance)
        stream = state.streams.get(request_id) if state else None
        if state is None or stream is None or tokens <= 0:
            return
        if not stream.tokens:
            self._costs.observe_first_token(stream, now)
        state.progress(stream, tokens, now)
        self._check_outliers(now)

    def finished(self, instance: str, request_id: str, ok: bool, now: float) -> None:
        """Count the end of an attempt; `ok` is False when the endpoint failed it."""
        state = self._states.get(instance)
        stream = state.end(request_id, ok, now) if state else None
        if stream is None:
            return
        if ok:
            self._costs.observe_end(stream, now)
        self._update_indexes(instance, now)
        self._check_outliers(now)

    def rejected(self, instance: str, request_id: str, now: float) -> None:
        """Count a rejection; the endpoint gets no new work until its next report is due."""
        state = self._states.get(instance)
        if state is not None and instance in self._available:
            state.full_until_s = now + REJECT_BACKOFF_S
            self._rejecting.pop(instance, None)
            self._rejecting[instance] = None
        self.finished(instance, request_id, True, now)

    def observe_cached_prefixes(self, instance: str, keys: Collection[int], now: float) -> None:
        """Record prefix keys that the endpoint reported as cached."""
        if instance in self._states:
            self._prefixes.add(instance, keys)

    def choose(self, req: QueuedRequest, now: float, exclude: Collection[str] = ()) -> str | None:
        """Return the instance to send the request to, or None if none has space."""
        chosen = self._cheapest(self._with_free_slot, req, now, exclude)
        if chosen is None and req.protected:
            chosen = self._cheapest(self._with_queue_space, req, now, exclude)
        return chosen

    def free_slots(self) -> int:
        """Return the number of free slots of all endpoints that may take new work."""
        return self._total_free_slots

    def available_instances(self) -> Collection[str]:
        """Return the endpoints that may take new work."""
        return list(self._available)

    def available_count(self) -> int:
        """Return the number of endpoints that may take new work."""
        return len(self._available)

    def is_available(self, instance: str) -> bool:
        """Return whether the endpoint may take new work."""
        return instance in self._available

    def health(self) -> dict[str, HealthState]:
        """Return the health of every connected endpoint."""
        return {name: state.health for name, state in self._states.items()}

    def outstanding(self, instance: str) -> int:
        """Return the estimated number of requests at the endpoint."""
        return self._states[instance].outstanding()

    def _add(self, rep: EndpointReport, now: float) -> bool:
        if rep.reported_s <= self._removed_reported_s.get(rep.instance, float("-inf")):
            return False
        self._removed_reported_s.pop(rep.instance, None)
        if self._first_report_s is None:
            self._first_report_s = now
        # Endpoints that report shortly after the start of this entry instance are probably warm.
        warm = now - self._first_report_s < SLOW_START_S
        state = self._states[rep.instance] = EndpointState(rep, now, warm)
        state.tie_breaker = self._rng.random()
        return True

    def _cheapest(
        self, index: CapabilityIndex, req: QueuedRequest, now: float, exclude: Collection[str]
    ) -> str | None:
        capability = (req.model, req.adapter)
        size = BASE_CANDIDATES + index.count(capability).bit_length() + len(exclude)
        candidates = index.sample(capability, size, self._rng)
        candidates += self._affinity_candidates(index, req)
        self.operations += len(candidates) + 1
        allowed = [name for name in dict.fromkeys(candidates) if name not in exclude]
        return min(allowed, key=lambda name: self._rank(name, req, now), default=None)

    def _affinity_candidates(self, index: CapabilityIndex, req: QueuedRequest) -> list[str]:
        capability = (req.model, req.adapter)
        found: dict[str, None] = {}
        for key in reversed(req.prefix_keys):
            holders = self._prefixes.holders(key, AFFINITY_CANDIDATES)
            self.operations += 1 + len(holders)
            capable = [name for name in holders if index.contains(name, capability)]
            found.update(dict.fromkeys(capable))
            if len(found) >= AFFINITY_CANDIDATES:
                break
        return list(found)

    def _rank(self, instance: str, req: QueuedRequest, now: float) -> tuple[float, float]:
        self.operations += 1
        state = self._states[instance]
        uncached = self._uncached_tokens(instance, req)
        return self._costs.estimate(state, uncached, now), state.tie_breaker

    def _uncached_tokens(self, instance: str, req: QueuedRequest) -> float:
        if not req.prefix_keys:
            return float(req.prompt_tokens)
        matched = self._prefixes.matched_keys(instance, req.prefix_keys)
        return req.prompt_tokens * (1.0 - matched / len(req.prefix_keys))

    def _check_outliers(self, now: float) -> None:
        for instance in self._detector.check(self._states, now):
            self._update_indexes(instance, now)

    def _enforce_ejection_bound(self, now: float) -> None:
        for instance in self._detector.enforce_ejection_bound(self._states, now):
            self._update_indexes(instance, now)

    def _update_indexes(self, instance: str, now: float) -> None:
        """Update the indexes and the free slots from the endpoint's state."""
        state = self._states[instance]
        if state.report.leaving or state.health is HealthState.EJECTED:
            self._remove_available(instance)
            return
        self._available[instance] = None
        if now < state.full_until_s:
            self._remove_from_indexes(instance)
            return
        slots, outstanding = state.slots(now), state.outstanding()
        queue = slots * LIMITS.SIDECAR_QUEUE_PER_SLOT
        overcommit = max(state.overcommit(slots), self._min_overcommit)
        free = max(0, slots + overcommit - outstanding)
        if state.health is HealthState.PROBATION:
            free = min(free, max(0, 1 - len(state.streams)))
        self._set_free(instance, free)
        queueable = state.health is HealthState.HEALTHY and slots + queue > outstanding
        for index, eligible in (
            (self._with_free_slot, free > 0),
            (self._with_queue_space, queueable),
        ):
            if eligible:
                index.put(instance, state.capabilities)
            else:
                index.discard(instance)

    def _end_reject_backoffs(self, now: float) -> None:
        """Make endpoints available again whose back-off after a rejection has ended."""
        while (
            self._rejecting
            and self._states[first := next(iter(self._rejecting))].full_until_s <= now
        ):
            del self._rejecting[first]
            self._update_indexes(first, now)

    def _remove_available(self, instance: str) -> None:
        self._available.pop(instance, None)
        self._rejecting.pop(instance, None)
        self._remove_from_indexes(instance)

    def _remove_from_indexes(self, instance: str) -> None:
        self._with_free_slot.discard(instance)
        self._with_queue_space.discard(instance)
        self._set_free(instance, 0)

    def _set_free(self, instance: str, free: int) -> None:
        self._total_free_slots += free - self._free_slots.pop(instance, 0)
        if free:
            self._free_slots[instance] = free
