"""An entry instance's estimate of the state of one connected endpoint."""

import math
from collections import deque

from cassiadrum.decisions.capability_indexes import capabilities_of
from cassiadrum.decisions.dispatched_streams import DispatchedStream
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.health_states import HealthState
from cassiadrum.defaults import LIMITS

__all__ = ["EndpointState"]

# The median of this many samples ignores a single outlier, such as that of a resumed stream.
INTER_TOKEN_SAMPLES = 15
MIN_INTER_TOKEN_SAMPLES = 5
# The limit of a new endpoint, whose caches are cold, rises linearly over this time.
SLOW_START_S = 10.0
# With n entry instances and reports of age L, the feedback loop is stable for smoothing times
# above about 0.6 * n * L. The factor is twice that, as a safety margin.
SMOOTHING_TIME_FACTOR = 1.2
# Overcommitment rises with the mean age of the reports: at the first value it reaches the second,
# a share of the short queue. Reports of an active endpoint are younger than that.
FULL_OVERCOMMIT_AGE_S = 1.0
MAX_OVERCOMMIT_SHARE = 0.5
# The mean age covers about the last eight reports, so that one delayed report has little effect.
REPORT_AGE_GAIN = 1 / 8


class EndpointState:
    """One endpoint's outstanding work and progress, from its reports and this process's streams.

    "Own" dispatches and streams are those of this entry instance; the endpoint also serves other
    ones. All times are monotonic seconds of this process.
    """

    def __init__(self, rep: EndpointReport, now: float, warm: bool) -> None:
        self.report = rep
        self.capabilities = capabilities_of(rep)
        self.streams: dict[str, DispatchedStream] = {}
        # Decides between endpoints of equal cost. A random value keeps entry instances from all
        # choosing the same endpoint first.
        self.tie_breaker = 0.0
        self.health = HealthState.HEALTHY
        self.health_changed_s = now
        self.ejections = 0
        self.consecutive_bad_checks = 0
        self.consecutive_failures = 0
        self.successes = 0
        # Inter-token time relative to the median at a similar batch size; at least 1.
        self.slowdown = 1.0
        self.last_progress_s = now
        # Set by a rejection, which overrides the free slots in the last report.
        self.full_until_s = now
        self._ramp_from_s = now - SLOW_START_S if warm else now
        self._inter_token_samples_s: deque[float] = deque(maxlen=INTER_TOKEN_SAMPLES)
        # Times of own dispatches and completions that are newer than the last report.
        self._dispatches: deque[float] = deque()
        self._completions: deque[float] = deque()
        self._mean_report_age_s = 0.0
        # Smoothed number of requests of other entry instances.
        self._other_requests = self._other_requests_at_report()

    def apply_report(self, rep: EndpointReport, now: float) -> bool:
        """Replace the last report if `rep` is newer; return False if it is not."""
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
        """Record the start of an own stream."""
        if not self.streams:
            self.last_progress_s = now
        self.streams[request_id] = DispatchedStream(now, now, uncached_tokens)
        self._dispatches.append(now)

    def progress(self, stream: DispatchedStream, tokens: int, now: float) -> None:
        """Count tokens of an own stream and sample its inter-token time."""
        if stream.tokens:
            self._inter_token_samples_s.append((now - stream.last_progress_s) / tokens)
        stream.tokens += tokens
        stream.last_progress_s = now
        self.last_progress_s = now

    def end(self, request_id: str, ok: bool, now: float) -> DispatchedStream | None:
        """Record the end of an own stream and return it, or return None if it is unknown."""
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
        """Return the estimated number of requests at the endpoint, of all entry instances."""
        return len(self.streams) + max(0, round(self._other_requests))

    def _smooth_other_requests(self, age_s: float, interval_s: float) -> None:
        """Smooth the number of other entry instances' requests over the age of the reports.

        All entry instances act on the same outdated report. Without smoothing they overfill the
        endpoint together and then all hold back until reports show the excess, by which time the
        endpoint is idle. The smoothing time therefore grows with the number of entry instances.
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
        """Return how many requests may be sent beyond the slots, to the endpoint's short queue.

        Old reports do not show slots that have become free since. Requests queued at the endpoint
        fill them at once; they take up at most half of the short queue.
        """
        share = min(1.0, self._mean_report_age_s / FULL_OVERCOMMIT_AGE_S) * MAX_OVERCOMMIT_SHARE
        return round(slots * LIMITS.SIDECAR_QUEUE_PER_SLOT * share)

    def slots(self, now: float) -> int:
        """Return the current limit on outstanding requests, reduced during slow start."""
        limit = self.report.limit
        ramp = (now - self._ramp_from_s) / SLOW_START_S
        return limit if ramp >= 1.0 else min(limit, max(1, int(limit * ramp)))

    def inter_token_s(self) -> float | None:
        """Return the median inter-token time of own streams in seconds, None if undersampled."""
        if len(self._inter_token_samples_s) < MIN_INTER_TOKEN_SAMPLES:
            return None
        return sorted(self._inter_token_samples_s)[len(self._inter_token_samples_s) // 2]

    def silent_s(self, now: float) -> float:
        """Return the seconds since the last progress of any own stream, 0 without streams."""
        return now - self.last_progress_s if self.streams else 0.0

    def has_produced_tokens(self) -> bool:
        """Return whether a running own stream has produced a token."""
        return any(stream.tokens for stream in self.streams.values())

    def set_health(self, health: HealthState, now: float) -> None:
        """Change the health and discard all earlier samples and counts."""
        if health is HealthState.HEALTHY and self.health is HealthState.PROBATION:
            self._ramp_from_s = now
        self.health = health
        self.health_changed_s = now
        self.consecutive_bad_checks = self.consecutive_failures = self.successes = 0
        self.slowdown = 1.0
        self.last_progress_s = now
        self._inter_token_samples_s.clear()
