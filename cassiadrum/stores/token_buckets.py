"""A token bucket; callers pass the time in monotonic seconds."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Limit a rate in tokens per second, with bursts of up to `burst` tokens."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate, as when the number of processes that share it changes."""
        self._refill(now)
        self._rate_per_s = rate_per_s

    def reserve(self, now: float, limit_s: float, tokens: float = 1.0) -> float | None:
        """Take tokens and return the seconds until they are available.

        Returns None and takes nothing if the wait would exceed `limit_s`.
        """
        self._refill(now)
        missing = tokens - self._tokens
        wait_s = max(0.0, missing / self._rate_per_s) if self._rate_per_s > 0 else float("inf")
        if missing <= 0:
            wait_s = 0.0
        if wait_s > limit_s:
            return None
        self._tokens -= tokens
        return wait_s

    def _refill(self, now: float) -> None:
        if self._updated_s is not None and now > self._updated_s:
            gained = (now - self._updated_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_s = now if self._updated_s is None else max(now, self._updated_s)
