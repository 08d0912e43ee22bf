"""What an entry instance knows of one connected endpoint."""

import math
from collections import deque

from cassiadrum.decisions.capability_indexes import capabilities_of
from cassiadrum.decisions.dispatched_streams import DispatchedStream
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.health_states import HealthState
from cassiadrum.defaults import LIMITS

__all__ = ["EndpointState"]

# The median of this many gaps ignores a single long one, such as that of a resumed stream.
INTER_TOKEN_SAMPLES = 15
MIN_INTER_TOKEN_SAMPLES = 5
# A new endpoint's caches are cold; its limit rises linearly over this time.
SLOW_START_S = 10.0
# With n entry instances and reports of age L, the feedback is stable from about 0.6 * n * L on;
# twice that leaves a margin.
SMOOTHING_TIME_FACTOR = 1.2
# Part of the short queue that is used when reports are older than their longest interval.
# Reports of this age cause the full share; a report of an active endpoint is younger.
FULL_OVERCOMMIT_AGE_S = 1.0
MAX_OVERCOMMIT_SHARE = 0.5
# The age follows about the last eight reports, so that one delayed report changes little.
REPORT_AGE_GAIN = 1 / 8


class EndpointState:
    """Estimate outstanding work from the last report and own events, and keep progress figures.

    All times are monotonic seconds of this process.
    """

    def __init__(self, rep: EndpointReport, now: float, warm: bool) -> None:
        self.report = rep
        self.capabilities = capabilities_of(rep)
        self.streams: dict[str, DispatchedStream] = {}
        # Orders equal endpoints; random, so that entry instances do not all start at the same one.
        self.tie_breaker = 0.0
        self.health = HealthState.HEALTHY
        self.health_changed_s = now
        self.ejections = 0
        self.consecutive_bad_checks = 0
        self.consecutive_failures = 0
        self.successes = 0
        # Own inter-token time relative to the median at similar batch size; at least 1.
        self.slowdown = 1.0
        self.last_progress_s = now
        # Set by a rejection: there is no room whatever the last report says.
        self.full_until_s = now
        self._ramp_from_s = now - SLOW_START_S if warm else now
        self._inter_token_samples_s: deque[float] = deque(maxlen=INTER_TOKEN_SAMPLES)
        # Times of own dispatches and completions that the last report cannot show.
        self._dispatches: deque[float] = deque()
        self._completions: deque[float] = deque()
        self._mean_report_age_s = 0.0
        # Estimated requests of other entry instances.
        self._other_requests = self._other_requests_at_report()

    def apply_report(self, rep: EndpointReport, now: float) -> bool:
        """Replace the report if `rep` is newer; return False for an old or duplicate one."""
        previous_s = self.report.reported_s
        if rep.reported_s <= previous_s:
            return False
        loaded = (self.report.models, self.report.adapters)
        if loaded != (rep.models, rep.adapters):
            self.capabilities = capabilities_of(rep)
        self.report = rep
        for times in (self._dispatches, self._completions):
            while times and times[0] <= rep.reported_s:
                times.popleft()
        self._mean_report_age_s += REPORT_AGE_GAIN * (
            max(0.0, now - rep.reported_s) - self._mean_report_age_s
        )
        self._smooth_other_requests(now - rep.reported_s, rep.reported_s - previous_s)
        return True

    def start(self, request_id: str, uncached_tokens: float, now: float) -> None:
        """Count an own dispatch."""
        if not self.streams:
            self.last_progress_s = now
        self.streams[request_id] = DispatchedStream(now, now, uncached_tokens)
        self._dispatches.append(now)

    def progress(self, stream: DispatchedStream, tokens: int, now: float) -> None:
        """Count tokens of an own stream and take a sample of its inter-token time."""
        if stream.tokens:
            self._inter_token_samples_s.append((now - stream.last_progress_s) / tokens)
        stream.tokens += tokens
        stream.last_progress_s = now
        self.last_progress_s = now

    def end(self, request_id: str, ok: bool, now: float) -> DispatchedStream | None:
        """Count the end of an own dispatch; return None when it is not known."""
        stream = self.streams.pop(request_id, None)
        if stream is None:
            return None
        self._completions.append(now)
        self.consecutive_failures = 0 if ok else self.consecutive_failures + 1
        if ok:
            self.last_progress_s = now
            self.successes += 1
        return stream

    def outstanding(self) -> int:
        """Return the estimated number of requests at the endpoint from all entry instances."""
        return len(self.streams) + max(0, round(self._other_requests))

    def _smooth_other_requests(self, age_s: float, interval_s: float) -> None:
        """Smooth the number of other entry instances' requests over the age of the reports.

        All entry instances act on the same old report. Without smoothing they fill the endpoint
        together, then all wait until reports show the excess, and it runs idle meanwhile. The
        more of them there are, the slower each has to follow.
        """
        others = self._other_requests_at_report()
        ratio = 1.0 + max(others, self._other_requests) / max(1, len(self.streams))
        span_s = max(age_s, 0.0) * ratio * SMOOTHING_TIME_FACTOR
        weight = 1.0 if span_s <= 0.0 else 1.0 - math.exp(-interval_s / span_s)
        self._other_requests += weight * (others - self._other_requests)

    def _other_requests_at_report(self) -> float:
        own = len(self.streams) - len(self._dispatches) + len(self._completions)
        return max(0.0, self.report.running + self.report.queued - own)

    def overcommit(self, slots: int) -> int:
        """Return how many requests beyond the slots may be sent ahead to the short queue.

        Old reports cannot show slots that other entry instances left free. Some waiting work at
        the endpoint fills them, up to half of the short queue.
        """
        share = min(1.0, self._mean_report_age_s / FULL_OVERCOMMIT_AGE_S) * MAX_OVERCOMMIT_SHARE
        return round(slots * LIMITS.SIDECAR_QUEUE_PER_SLOT * share)

    def slots(self, now: float) -> int:
        """Return the limit on outstanding requests that this entry instance respects now."""
        limit = self.report.limit
        ramp = (now - self._ramp_from_s) / SLOW_START_S
        return limit if ramp >= 1.0 else min(limit, max(1, int(limit * ramp)))

    def inter_token_s(self) -> float | None:
        """Return the median inter-token time of own streams, or None without enough samples."""
        if len(self._inter_token_samples_s) < MIN_INTER_TOKEN_SAMPLES:
            return None
        return sorted(self._inter_token_samples_s)[len(self._inter_token_samples_s) // 2]

    def silent_s(self, now: float) -> float:
        """Return how long no own stream has made progress while there was one."""
        return now - self.last_progress_s if self.streams else 0.0

    def has_produced_tokens(self) -> bool:
        """Return whether a running own stream has produced a token."""
        return any(stream.tokens for stream in self.streams.values())

    def set_health(self, health: HealthState, now: float) -> None:
        """Change the health and judge the endpoint by new samples only."""
        if health is HealthState.HEALTHY and self.health is HealthState.PROBATION:
            self._ramp_from_s = now
        self.health = health
        self.health_changed_s = now
        self.consecutive_bad_checks = self.consecutive_failures = self.successes = 0
        self.slowdown = 1.0
        self.last_progress_s = now
        self._inter_token_samples_s.clear()
