"""Measured output rate of a service."""

__all__ = ["ServiceRate"]

# Averages about the last 64 attempts.
RATE_GAIN = 1 / 64


class ServiceRate:
    """Measured number of tokens per second that one slot produces.

    A rate per slot is also valid while the service is not saturated, when the total output only
    reflects the demand.
    """

    def __init__(self) -> None:
        self._mean_tokens = 0.0
        self._mean_duration_s = 0.0

    @property
    def mean_tokens(self) -> float:
        """Return the mean output tokens of an attempt, 0 if unknown."""
        return self._mean_tokens

    def observe(self, tokens: int, duration_s: float) -> None:
        """Record an attempt that occupied a slot for `duration_s` seconds.

        A call to a plain service counts as one token.
        """
        gain = RATE_GAIN if self._mean_duration_s > 0.0 else 1.0
        self._mean_tokens += gain * (max(tokens, 1) - self._mean_tokens)
        self._mean_duration_s += gain * (max(duration_s, 1e-6) - self._mean_duration_s)

    def tokens_per_s(self, slots: int) -> float:
        """Return the rate of `slots` slots, 0 if unknown."""
        return (
            slots * self._mean_tokens / self._mean_duration_s
            if self._mean_duration_s > 0.0
            else 0.0
        )
