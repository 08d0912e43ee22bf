"""A gateway's local estimate of the state of one endpoint."""

import logging
import math

from cassiadrum.gateways.answer_heads import LoadSample
from cassiadrum.gateways.endpoint_entries import EndpointEntry
from cassiadrum.gateways.fleets import SingleGateway
from cassiadrum.gateways.prompt_cache_estimates import PromptCacheEstimate
from cassiadrum.gateways.request_limits import RequestLimit
from cassiadrum.gateways.sent_requests import RequestKind, SentRequests
from cassiadrum.gateways.stream_stats import EventGapAverage, ServiceStreamStats

__all__ = ["EndpointView"]

logger = logging.getLogger(__name__)

# Age beyond which a load sample no longer counts for the requests of other gateways.
SAMPLE_MAX_AGE_S = 3.0
# Maximum age of the load sample that an event gap is attributed to.
GAP_LOAD_MAX_AGE_S = 1.0
# Wait that each request without first bytes adds to that of the next one: initial value, bounds
# and the smoothing factor of its moving average.
DEFAULT_WAIT_PER_REQUEST_MS = 150.0
MIN_WAIT_PER_REQUEST_MS = 20.0
MAX_WAIT_PER_REQUEST_MS = 800.0
WAIT_SMOOTHING = 0.2
# Half-life of the failure count, so that an endpoint that recovers is used again.
FAILURE_HALF_LIFE_S = 2.0
# An unreachable endpoint is avoided for an initial time that doubles with each failed connection.
UNREACHABLE_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_MAX_S = 4.0


class EndpointView:
    """An endpoint's load by its samples and own requests; times are monotonic seconds.

    `cache_tokens` is the assumed size of the prompt cache in tokens, 0 for plain services.
    `service_stats` is shared by the endpoints of a service and stands in for an endpoint at which
    this gateway has no streams. `sent_requests` is shared by all endpoints of the gateway,
    `request_limit` by all views of one incarnation.
    """

    def __init__(
        self,
        entry: EndpointEntry,
        cache_tokens: int,
        service_stats: ServiceStreamStats | None = None,
        sent_requests: SentRequests | None = None,
        request_limit: RequestLimit | None = None,
    ) -> None:
        self.entry = entry
        self._event_gap = EventGapAverage()
        self._service_stats = service_stats or ServiceStreamStats()
        self.prompt_cache = PromptCacheEstimate(cache_tokens)
        self.request_limit = request_limit or RequestLimit(entry.instance, SingleGateway())
        self._sent_requests = sent_requests or SentRequests()
        self.own_requests = 0
        # Own requests without first bytes, and their prompt tokens that need prefill.
        self.own_waiting = 0
        self.own_prefill_tokens = 0
        self.wait_per_request_ms = DEFAULT_WAIT_PER_REQUEST_MS
        self.avoid_until_s = 0.0
        self.full_until_s = 0.0
        # Whether this incarnation announced its shutdown in an answer.
        self.leaving = False
        # Whether this incarnation is in the list of endpoints.
        self.registered = True
        # End of the pause that the endpoint requested from this gateway. The monotonic clock stops
        # while the machine is suspended, which can only extend a pause.
        self.paused_until_s = 0.0
        # Time of the last bytes of any answer, and of the last load probe.
        self.last_received_s = 0.0
        self.last_probed_s = 0.0
        self._refused_connects = 0
        self._failures = 0.0
        self._last_failure_s = 0.0
        self._sample: LoadSample | None = None
        self._sampled_s = 0.0
        # Changes of the own requests, and of those without first bytes, since the sample.
        self._outstanding_delta = 0
        self._waiting_delta = 0

    def record_start(self, prefill_tokens: int) -> None:
        """Record the start of an own request."""
        self.own_requests += 1
        self._outstanding_delta += 1
        self.own_waiting += 1
        self._waiting_delta += 1
        self.own_prefill_tokens += prefill_tokens

    def record_sent(self, kind: RequestKind) -> None:
        """Record that a request was sent to the endpoint."""
        limited = self.request_limit.rate_per_s is not None
        self._sent_requests.record(self.entry.service, kind, limited=limited)
        if limited and kind is RequestKind.LOAD_PROBE:
            self._log("load probe sent to an endpoint with a request limit")

    def record_first_bytes(self, prefill_tokens: int, load: LoadSample | None, now: float) -> None:
        """Record the first bytes of an answer to an own request, or its end without an answer."""
        self.own_prefill_tokens -= prefill_tokens
        self.own_waiting -= 1
        self._waiting_delta -= 1
        if load is not None:
            self.record_sample(load, now)

    def record_sample(self, load: LoadSample, now: float) -> None:
        """Record the request counts that the endpoint reported."""
        self._sample = load
        self._sampled_s = now
        self._outstanding_delta = 0
        self._waiting_delta = 0

    def update_wait_per_request(self, wait_ms: float, queued_ahead: int) -> None:
        """Update the estimate from the wait, less its own prefill, of a request behind others."""
        if queued_ahead > 0:
            sample_ms = min(
                MAX_WAIT_PER_REQUEST_MS, max(MIN_WAIT_PER_REQUEST_MS, wait_ms / queued_ahead)
            )
            self.wait_per_request_ms += WAIT_SMOOTHING * (sample_ms - self.wait_per_request_ms)

    def record_event_gap(self, gap_s: float, allowed_s: float, now: float) -> None:
        """Record the gap between two events; `allowed_s` is that of the most demanding stream."""
        self._event_gap.update(gap_s, now)
        self._service_stats.event_gap.update(gap_s, now)
        outstanding = (
            self.outstanding(now) if self.has_sample_within(now, GAP_LOAD_MAX_AGE_S) else None
        )
        self._service_stats.limit.record_gap(gap_s, allowed_s, outstanding, now)

    def keeps_urgent_on_time(self, now: float, more_urgent_classes: int) -> bool:
        """Return whether more urgent streams stay on time if the endpoint gets a request."""
        return self._service_stats.limit.allows(
            self.outstanding(now), self.entry.slots, more_urgent_classes
        )

    def gap_s(self, now: float) -> float:
        """Return the expected seconds between events of a stream, 0 if unknown."""
        return self._event_gap.gap_s(now) or self._service_stats.event_gap.gap_s(now) or 0.0

    def record_end(self) -> None:
        """Record the end of an own request."""
        self.own_requests -= 1
        self._outstanding_delta -= 1

    def record_success(self) -> None:
        """Record a complete answer."""
        self._refused_connects = 0
        self._failures *= 0.5

    def record_failure(self, now: float) -> None:
        """Record a failed attempt."""
        self._failures = self.failures(now) + 1.0
        self._last_failure_s = now

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection and avoid the endpoint, with exponential backoff."""
        self.record_failure(now)
        pause_s = min(UNREACHABLE_BACKOFF_MAX_S, UNREACHABLE_BACKOFF_S * 2**self._refused_connects)
        self._refused_connects += 1
        self.avoid(now, pause_s, "unreachable")

    def avoid(self, now: float, pause_s: float, reason: str) -> None:
        """Avoid the endpoint for `pause_s` seconds unless no other one is available."""
        self.avoid_until_s = max(self.avoid_until_s, now + pause_s)
        self._log("endpoint avoided", reason=reason, pause_ms=round(pause_s * 1000))

    def mark_full(self, now: float, pause_s: float) -> None:
        """Send no new requests for `pause_s` seconds; requests at the endpoint continue."""
        self.full_until_s = max(self.full_until_s, now + pause_s)
        self._log("endpoint says that it is full", pause_ms=round(pause_s * 1000))

    @property
    def is_expected_to_end(self) -> bool:
        """Return whether the endpoint announced its shutdown, or was taken off the list."""
        return self.leaving or self.entry.leaving or not self.registered

    def mark_leaving(self) -> None:
        """Record that the endpoint announced its shutdown; it gets no new requests."""
        if not self.leaving:
            self.leaving = True
            self._log("endpoint announced its shutdown")

    def mark_paused(self, now: float, pause_s: float) -> None:
        """Send nothing for `pause_s` seconds, as the endpoint requested with a refusal."""
        self.paused_until_s = max(self.paused_until_s, now + pause_s)
        self._log("endpoint requested a pause", pause_ms=round(pause_s * 1000))

    def blocked_s(self, now: float) -> float:
        """Return the seconds until a pause has ended and the request limit permits a request."""
        return max(0.0, self.paused_until_s - now, self.request_limit.wait_s(now))

    def failures(self, now: float) -> float:
        """Return the number of failures, weighted by their age."""
        return self._failures * math.pow(0.5, (now - self._last_failure_s) / FAILURE_HALF_LIFE_S)

    def outstanding(self, now: float) -> int:
        """Return the estimated number of requests at the endpoint from all gateways."""
        if self._sample is None or now - self._sampled_s > SAMPLE_MAX_AGE_S:
            return self.own_requests
        return max(
            self.own_requests,
            self._sample.running + self._sample.waiting + self._outstanding_delta,
        )

    def has_sample_within(self, now: float, age_s: float) -> bool:
        """Return whether the load was sampled within the last `age_s` seconds."""
        return self._sample is not None and now - self._sampled_s <= age_s

    def sample_age_ms(self, now: float) -> int | None:
        """Return the age of the last load sample, None before the first one."""
        return None if self._sample is None else round((now - self._sampled_s) * 1000)

    def waiting(self, now: float) -> int:
        """Return the estimated number of requests at the endpoint without first bytes."""
        if self._sample is None or now - self._sampled_s > SAMPLE_MAX_AGE_S:
            return self.own_waiting
        return max(self.own_waiting, self._sample.waiting + self._waiting_delta)

    def describe(self, now: float) -> dict[str, object]:
        """Return the estimates as log fields."""
        return {
            "endpoint": self.entry.instance,
            "software": self.entry.version,
            "zone": self.entry.zone,
            "at_endpoint": self.outstanding(now),
            "without_first_bytes": self.waiting(now),
            "own": self.own_requests,
            "load_age_ms": self.sample_age_ms(now),
            "turn_ms": round(self.wait_per_request_ms),
            "gap_ms": round(self.gap_s(now) * 1000),
            "own_prefill_tokens": self.own_prefill_tokens,
            "failures": round(self.failures(now), 2),
            "full": self.full_until_s > now,
            "avoided": self.avoid_until_s > now,
            "paused": self.paused_until_s > now,
            "limit_per_s": self.request_limit.rate_per_s,
        }

    def _log(self, event: str, **fields: object) -> None:
        extra = {"endpoint": self.entry.instance, "failures": self._failures, **fields}
        logger.info(event, extra=extra)
