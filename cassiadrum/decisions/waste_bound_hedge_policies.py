"""Hedging within a bound on the measured waste."""

from collections.abc import Mapping

from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.log_histograms import LogHistogram
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["WasteBoundHedgePolicy"]

HEDGE_AFTER_QUANTILE = 0.95
# With fewer first-token times the quantile is not known well enough to hedge.
MIN_OBSERVATIONS = 50
# A losing copy is assumed to waste this much until some have been measured.
INITIAL_WASTE_TOKENS = 100.0
WASTE_GAIN = 1 / 16
# Beyond this sum both counts are halved, so that the share follows recent work.
HALVING_TOKENS = 1_000_000.0
MS_PER_S = 1000.0


class WasteBoundHedgePolicy(HedgePolicy):
    """Hedge idempotent requests that wait longer than most, while little work is wasted.

    `budgets` maps class names to the allowed share of wasted in all tokens; a class that is not
    named is not hedged. Copies under way count with the mean waste of earlier ones.
    """

    def __init__(self, budgets: Mapping[str, float] | None = None) -> None:
        self._budgets = dict(budgets or {})
        self._first_token_ms: dict[str, LogHistogram] = {}
        self._wasted_tokens = 0.0
        self._useful_tokens = 0.0
        self._running_hedges = 0
        self._mean_waste_tokens = INITIAL_WASTE_TOKENS
        self._unassigned_waste_tokens = 0.0

    @property
    def waste_share(self) -> float:
        """Return the share of wasted in all tokens."""
        total = self._wasted_tokens + self._useful_tokens
        return self._wasted_tokens / total if total else 0.0

    def configure(self, budgets: Mapping[str, float]) -> None:
        """Replace the budgets; what was learned stays."""
        self._budgets = dict(budgets)

    def may_hedge(self, req: QueuedRequest, waited_s: float, now: float) -> bool:
        """Allow a copy after the learned quantile of first-token time, within the budget."""
        budget = self._budgets.get(req.class_name, 0.0)
        if budget <= 0.0 or not req.idempotent or req.once_only or now >= req.deadline_s:
            return False
        histogram = self._first_token_ms.get(req.class_name)
        if histogram is None or histogram.total < MIN_OBSERVATIONS:
            return False
        if waited_s * MS_PER_S <= histogram.quantile(HEDGE_AFTER_QUANTILE):
            return False
        wasted = self._wasted_tokens + (self._running_hedges + 1) * self._mean_waste_tokens
        return wasted <= budget * (wasted + self._useful_tokens)

    def record_hedge_started(self) -> None:
        """Count a copy under way."""
        self._running_hedges += 1

    def record_hedge_ended(self) -> None:
        """Take a losing copy out of those under way and learn what it wasted."""
        self._running_hedges = max(self._running_hedges - 1, 0)
        self._mean_waste_tokens += WASTE_GAIN * (
            self._unassigned_waste_tokens - self._mean_waste_tokens
        )
        self._unassigned_waste_tokens = 0.0

    def observe_first_token(self, class_name: str, waited_s: float) -> None:
        """Learn a first-token time."""
        self._first_token_ms.setdefault(class_name, LogHistogram()).add(waited_s * MS_PER_S)

    def add_wasted_tokens(self, tokens: int) -> None:
        """Count wasted tokens."""
        self._wasted_tokens += tokens
        self._unassigned_waste_tokens += tokens
        self._decay()

    def add_useful_tokens(self, tokens: int) -> None:
        """Count delivered tokens."""
        self._useful_tokens += tokens
        self._decay()

    def _decay(self) -> None:
        if self._wasted_tokens + self._useful_tokens > HALVING_TOKENS:
            self._wasted_tokens /= 2
            self._useful_tokens /= 2
