"""Estimate of what a request costs at an endpoint."""

from collections.abc import Mapping

from cassiadrum.decisions.dispatched_streams import DispatchedStream
from cassiadrum.decisions.endpoint_states import EndpointState

__all__ = ["CostEstimator"]

# A round trip between zones at 0.5 ms each way (design 1.2).
DEFAULT_ZONE_RTT_S = 0.001
# Starting values until own streams have been measured.
INITIAL_PREFILL_S_PER_TOKEN = 1 / 8000
INITIAL_DURATION_S = 1.0
DURATION_GAIN = 0.05
# A first token also waits for other prompts, which only lengthens it: following shorter samples
# faster gives about the twentieth percentile. The mean would count the load twice and make a
# cached prefix outweigh almost any load.
PREFILL_DECREASE_GAIN = 0.2
PREFILL_INCREASE_GAIN = 0.05
# Shorter prefills are dominated by fixed costs.
MIN_PREFILL_TOKENS = 64
# Up to about the first-token target, silence is ordinary waiting.
TOLERATED_SILENCE_S = 1.0


class CostEstimator:
    """Add up queueing, uncached prefill, slowness, silence and zone distance in seconds.

    `zone_rtts_s` maps zones to the seconds of a round trip from `zone`.
    """

    def __init__(self, zone: str, zone_rtts_s: Mapping[str, float], streams_tokens: bool) -> None:
        self._zone_rtts_s = {zone: 0.0, **zone_rtts_s}
        self._streams_tokens = streams_tokens
        self._prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN
        self._mean_duration_s = INITIAL_DURATION_S

    def observe_first_token(self, stream: DispatchedStream, now: float) -> None:
        """Learn the prefill rate from the first token of a stream."""
        if stream.uncached_tokens >= MIN_PREFILL_TOKENS:
            sample = (now - stream.dispatched_s) / stream.uncached_tokens
            gain = (
                PREFILL_DECREASE_GAIN
                if sample < self._prefill_s_per_token
                else PREFILL_INCREASE_GAIN
            )
            self._prefill_s_per_token += gain * (sample - self._prefill_s_per_token)

    def observe_end(self, stream: DispatchedStream, now: float) -> None:
        """Learn the duration of a request from one that succeeded."""
        self._mean_duration_s += DURATION_GAIN * (
            now - stream.dispatched_s - self._mean_duration_s
        )

    def estimate(self, state: EndpointState, uncached_tokens: float, now: float) -> float:
        """Return the estimated seconds that one more request costs at the endpoint."""
        utilization = (state.outstanding() + 1) / max(1, state.slots(now))
        # Work within the limit shares the batch, which costs more the fuller it is; work above
        # the limit waits for a slot.
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
