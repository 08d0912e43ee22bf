"""Latency of one stream, measured at the sidecar."""

__all__ = ["StreamTiming"]

SSE_EVENT = b"\n\n"


class StreamTiming:
    """First-token and mean inter-token latency of a started call, in seconds."""

    def __init__(self, started_s: float) -> None:
        self.tokens = 0
        self.started_s = started_s
        self._first_s = 0.0
        self._last_s = 0.0

    def record_data(self, data: bytes, now: float) -> int:
        """Record bytes received at `now` and return the number of events that they end."""
        if not self._first_s:
            self._first_s = now
        self._last_s = now
        events = data.count(SSE_EVENT)
        self.tokens += events
        return events

    @property
    def first_token_s(self) -> float:
        """Return the seconds from the start to the first byte."""
        return max(0.0, self._first_s - self.started_s)

    @property
    def inter_token_s(self) -> float:
        """Return the mean seconds between events, 0 with fewer than two events."""
        if self.tokens < 2:
            return 0.0
        return (self._last_s - self._first_s) / (self.tokens - 1)
