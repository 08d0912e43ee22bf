"""Detection of a silent connection."""

from collections.abc import Sequence

from cassiadrum.defaults import LIMITS

__all__ = ["SilenceWatch"]

# A step that took much longer than asked for means that this process did not run.
LONGEST_STEP = 2.0


class SilenceWatch:
    """Add up the time without a sign of life, separately for each kind of sign.

    All times are monotonic seconds. While the link is idle the limit is longer.
    """

    def __init__(self, now: float) -> None:
        self.idle = False
        self._silent_s: list[float] = []
        self._last_s = now

    @property
    def expired(self) -> bool:
        """Tell whether any sign has been missing for too long."""
        limit_s = LIMITS.IDLE_SILENCE_LIMIT_S if self.idle else LIMITS.SILENCE_LIMIT_S
        return max(self._silent_s, default=0.0) >= limit_s

    def check(
        self,
        now: float,
        marks: Sequence[float],
        *,
        step_s: float,
        idle: bool,
        last_stream_s: float,
    ) -> None:
        """Take the times of the last signs, after a pause that was to take `step_s`.

        `last_stream_s` is when a stream last began or ended on the link.
        """
        passed_s = min(now - self._last_s, LONGEST_STEP * step_s)
        silent_s = self._silent_s or [0.0] * len(marks)
        self._silent_s = [
            0.0 if mark >= self._last_s else silent + passed_s
            for mark, silent in zip(marks, silent_s, strict=True)
        ]
        if self.idle and not idle:
            # The peer of a link that has become active has the short time from then on.
            recent_s = max(0.0, now - last_stream_s)
            self._silent_s = [min(silent, recent_s) for silent in self._silent_s]
        self._last_s, self.idle = now, idle
