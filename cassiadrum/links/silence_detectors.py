"""Detection of a silent connection."""

from collections.abc import Sequence

from cassiadrum.defaults import LIMITS

__all__ = ["SilenceDetector"]

# A step that took much longer than asked for means that this process did not run.
MAX_STEP_FACTOR = 2.0


class SilenceDetector:
    """Add up the time without a sign of life, separately for each kind of sign.

    All times are monotonic seconds. While the link is idle the limit is longer. `late` has the
    number of heartbeats by which each sign may lag behind the cause.
    """

    def __init__(self, now: float, allowed_lag: Sequence[int]) -> None:
        self.idle = False
        self._allowed_lag = allowed_lag
        self._silent_s = [0.0] * len(allowed_lag)
        self._last_s = now

    @property
    def expired(self) -> bool:
        """Tell whether any sign has been missing for too long."""
        limit_s, beat_s = LIMITS.SILENCE_LIMIT_S, LIMITS.HEARTBEAT_INTERVAL_S
        if self.idle:
            limit_s, beat_s = LIMITS.IDLE_SILENCE_LIMIT_S, LIMITS.IDLE_HEARTBEAT_INTERVAL_S
        return any(
            silent >= limit_s + late * beat_s
            for silent, late in zip(self._silent_s, self._allowed_lag, strict=True)
        )

    def update(
        self,
        now: float,
        last_seen_s: Sequence[float],
        *,
        step_s: float,
        idle: bool,
        active_since_s: float,
    ) -> None:
        """Take the times of the last signs, after a pause that was to take `step_s`.

        `active_since_s` is when the link last stopped being idle.
        """
        passed_s = min(now - self._last_s, MAX_STEP_FACTOR * step_s)
        self._silent_s = [
            0.0 if mark >= self._last_s else silent + passed_s
            for mark, silent in zip(last_seen_s, self._silent_s, strict=True)
        ]
        # The peer of a link that has become active has the short time from then on.
        active_s = max(0.0, now - active_since_s)
        if not idle:
            self._silent_s = [min(silent, active_s) for silent in self._silent_s]
        self._last_s, self.idle = now, idle
