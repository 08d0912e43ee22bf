"""A circuit breaker; callers pass the time in monotonic seconds."""

__all__ = ["CircuitBreaker"]


class CircuitBreaker:
    """Breaker that blocks all but one probe per interval after `failures` failures in a row."""

    def __init__(self, failures: int = 5, probe_interval_s: float = 1.0) -> None:
        self._limit = failures
        self._probe_interval_s = probe_interval_s
        self._failures = 0
        self._probe_at_s = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether only probes are allowed."""
        return self._failures >= self._limit

    def allow(self, now: float) -> bool:
        """Return whether a request may be sent; while open, this reserves the probe."""
        if not self.is_open:
            return True
        if now < self._probe_at_s:
            return False
        self._probe_at_s = now + self._probe_interval_s
        return True

    def record_success(self) -> None:
        """Record an answer of the store, which closes the breaker."""
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record a request that failed or got no answer."""
        self._failures += 1
        if self._failures == self._limit:
            self._probe_at_s = now + self._probe_interval_s
