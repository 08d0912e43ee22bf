"""Estimated cost of a request at an endpoint."""

from collections.abc import Mapping

from cassiadrum.decisions.dispatched_streams import DispatchedStream
from cassiadrum.decisions.endpoint_states import EndpointState

__all__ = ["CostEstimator"]

# Round trip between zones, at 0.5 ms each way.
DEFAULT_ZONE_RTT_S = 0.001
# Initial values until streams of this process have been measured.
INITIAL_PREFILL_S_PER_TOKEN = 1 / 8000
INITIAL_DURATION_S = 1.0
DURATION_GAIN = 0.05
# The time to first token includes waiting for other prompts. A higher gain for shorter samples
# makes the estimate follow about the 20th percentile. The mean would count the load twice, and a
# cached prefix would then outweigh almost any load.
PREFILL_DECREASE_GAIN = 0.2
PREFILL_INCREASE_GAIN = 0.05
# The time of shorter prefills is mostly fixed cost.
MIN_PREFILL_TOKENS = 64
# About the first-token target; a shorter silence is normal queueing.
TOLERATED_SILENCE_S = 1.0


class CostEstimator:
    """Cost of one more request at an endpoint, in seconds.

    Sums queueing, uncached prefill, slowdown, silence and the round trip to the endpoint's zone.
    `zone_rtts_s` maps zones to the round-trip time from `zone` in seconds.
    """

    def __init__(self, zone: str, zone_rtts_s: Mapping[str, float], streams_tokens: bool) -> None:
        self._zone_rtts_s = {zone: 0.0, **zone_rtts_s}
        self._streams_tokens = streams_tokens
        self._prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN
        self._mean_duration_s = INITIAL_DURATION_S

    def observe_first_token(self, stream: DispatchedStream, now: float) -> None:
        """Update the prefill rate from the first token of a stream."""
        if stream.uncached_tokens >= MIN_PREFILL_TOKENS:
            sample = (now - stream.dispatched_s) / stream.uncached_tokens
            gain = (
                PREFILL_DECREASE_GAIN
                if sample < self._prefill_s_per_token
                else PREFILL_INCREASE_GAIN
            )
            self._prefill_s_per_token += gain * (sample - self._prefill_s_per_token)

    def observe_end(self, stream: DispatchedStream, now: float) -> None:
        """Update the mean request duration from a successful request."""
        self._mean_duration_s += DURATION_GAIN * (
            now - stream.dispatched_s - self._mean_duration_s
        )

    def estimate(self, state: EndpointState, uncached_tokens: float, now: float) -> float:
        """Return the estimated cost, in seconds, of one more request at the endpoint."""
        utilization = (state.outstanding() + 1) / max(1, state.slots(now))
        # Requests within the limit share the batch, so the cost rises with its size; requests
        # above the limit wait for a slot.
        queueing = self._mean_duration_s * (
            min(utilization, 1.0) ** 2 / 2 + max(0.0, utilization - 1.0)
        )
        prefill = uncached_tokens * self._prefill_s_per_token
        slowness = self._mean_duration_s * (state.slowdown - 1.0)
        silence = 0.0
        if self._streams_tokens:
            silence = max(0.0, state.silent_s(now) - TOLERATED_SILENCE_S)
        zone_rtt = self._zone_rtts_s.get(state.report.zone, DEFAULT_ZONE_RTT_S)
        return queueing + prefill + slowness + silence + zone_rtt
