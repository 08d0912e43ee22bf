"""Detection of connections on which the peer no longer responds."""

from collections.abc import Sequence

from cassiadrum.defaults import LIMITS

__all__ = ["SilenceDetector"]

# A step that took longer than this many intervals means that this process was paused.
MAX_STEP_FACTOR = 2.0


class SilenceDetector:
    """The time without a sign of life, separately for each kind of sign.

    All times are monotonic seconds. While the link is idle the limit is longer. `allowed_lag`
    holds the number of heartbeat intervals by which each kind of sign may come later.
    """

    def __init__(self, now: float, allowed_lag: Sequence[int]) -> None:
        self.idle = False
        self._allowed_lag = allowed_lag
        self._silent_s = [0.0] * len(allowed_lag)
        self._last_s = now

    @property
    def expired(self) -> bool:
        """Return whether any sign has been missing for longer than its limit."""
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
        """Update with the times of the last signs, `step_s` after the previous update.

        A longer step counts as at most MAX_STEP_FACTOR times `step_s`. `active_since_s` is when
        the link last stopped being idle.
        """
        passed_s = min(now - self._last_s, MAX_STEP_FACTOR * step_s)
        self._silent_s = [
            0.0 if mark >= self._last_s else silent + passed_s
            for mark, silent in zip(last_seen_s, self._silent_s, strict=True)
        ]
        # When an idle link becomes active, the short limit applies from that moment on.
        active_s = max(0.0, now - active_since_s)
        if not idle:
            self._silent_s = [min(silent, active_s) for silent in self._silent_s]
        self._last_s, self.idle = now, idle
