"""Ranking of the customers with the most tokens."""

from collections import Counter
from typing import Final

__all__ = ["CustomerRanking"]

TOP_CUSTOMERS: Final = 20
WINDOW_S: Final = 60.0
# Bounds the memory of a window; tokens of further customers are counted as one sum.
CUSTOMERS_MAX: Final = 4096


class CustomerRanking:
    """Ranking of customers by tokens in the last complete window of `window_s`."""

    def __init__(self, window_s: float = WINDOW_S, top: int = TOP_CUSTOMERS) -> None:
        self._window_s = window_s
        self._top = top
        self._window = 0
        self._current: Counter[str] = Counter()
        self._current_other = 0
        self._ranked: list[tuple[str, int]] = []
        self._other = 0

    def add(self, customer: str, tokens: int, now: float) -> None:
        """Add tokens of a customer; `now` is in monotonic seconds."""
        self._advance_window(now)
        if customer in self._current or len(self._current) < CUSTOMERS_MAX:
            self._current[customer] += tokens
        else:
            self._current_other += tokens

    def last_window(self, now: float) -> tuple[list[tuple[str, int]], int]:
        """Return the top customers with their tokens in descending order, and all other tokens."""
        self._advance_window(now)
        return self._ranked, self._other

    def _advance_window(self, now: float) -> None:
        window = int(now // self._window_s)
        if window == self._window:
            return
        full = window == self._window + 1
        counts = self._current if full else Counter[str]()
        self._ranked = counts.most_common(self._top)
        ranked_tokens = sum(tokens for _, tokens in self._ranked)
        other = self._current_other if full else 0
        self._other = counts.total() - ranked_tokens + other
        self._window, self._current, self._current_other = window, Counter(), 0
