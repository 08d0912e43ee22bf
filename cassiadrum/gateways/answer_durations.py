"""The longest recent answers of each route."""

__all__ = ["AnswerDurations"]

# An answer counts for one to two windows.
WINDOW_S = 30.0


class AnswerDurations:
    """The longest recent answers by route and size; times are monotonic seconds.

    Sizes are powers of two of the output tokens, since a stream takes as long as it has tokens.
    """

    def __init__(self) -> None:
        self._window_end_s = float("-inf")
        # Durations in the current and the previous window.
        self._current: dict[str, dict[int, float]] = {}
        self._previous: dict[str, dict[int, float]] = {}

    def record(self, route: str, output_tokens: int, duration_s: float, now: float) -> None:
        """Add the time that an answer took."""
        self._expire(now)
        by_size = self._current.setdefault(route, {})
        size = output_tokens.bit_length()
        by_size[size] = max(by_size.get(size, 0.0), duration_s)

    def longest_s(self, route: str, output_tokens: int, now: float) -> float | None:
        """Return the duration of the longest answer of this size, None if nothing is known.

        Where no answer of this size is known, the next larger size is used.
        """
        self._expire(now)
        windows = [self._current.get(route, {}), self._previous.get(route, {})]
        known = [size for window in windows for size in window]
        size = min((size for size in known if size >= output_tokens.bit_length()), default=None)
        if size is None:
            return None
        return max(window.get(size, 0.0) for window in windows)

    def _expire(self, now: float) -> None:
        if now < self._window_end_s:
            return
        recent = now < self._window_end_s + WINDOW_S
        self._previous = self._current if recent else {}
        self._current = {}
        self._window_end_s = now + WINDOW_S
