"""Hedging limited by the measured share of wasted work."""

from collections.abc import Mapping

from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.log_histograms import LogHistogram
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["WasteBoundHedgePolicy"]

HEDGE_AFTER_QUANTILE = 0.95
# With fewer first-token times, the quantile is too uncertain.
MIN_OBSERVATIONS = 50
# Assumed waste of a losing copy until some have been measured.
INITIAL_WASTE_TOKENS = 100.0
WASTE_GAIN = 1 / 16
# Above this sum both counts are halved, so that the share reflects recent work.
HALVING_TOKENS = 1_000_000.0
MS_PER_S = 1000.0


class WasteBoundHedgePolicy(HedgePolicy):
    """Policy that hedges unusually slow idempotent requests within a budget of wasted work.

    `budgets` maps class names to the allowed share of wasted tokens in all tokens; classes without
    an entry are not hedged. Hedges whose waste is not known yet count with the mean waste of
    earlier ones.
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
        """Return the share of wasted tokens in all tokens."""
        total = self._wasted_tokens + self._useful_tokens
        return self._wasted_tokens / total if total else 0.0

    def configure(self, budgets: Mapping[str, float]) -> None:
        """Replace the budgets and keep all measurements."""
        self._budgets = dict(budgets)

    def may_hedge(self, req: QueuedRequest, waited_s: float, now: float) -> bool:
        """Allow a hedge after the 95th percentile of first-token times, within the budget."""
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
        """Count a running hedge."""
        self._running_hedges += 1

    def record_hedge_ended(self) -> None:
        """Remove one running hedge and update the mean waste with the tokens added since."""
        self._running_hedges = max(self._running_hedges - 1, 0)
        self._mean_waste_tokens += WASTE_GAIN * (
            self._unassigned_waste_tokens - self._mean_waste_tokens
        )
        self._unassigned_waste_tokens = 0.0

    def observe_first_token(self, class_name: str, waited_s: float) -> None:
        """Record a first-token time in seconds."""
        self._first_token_ms.setdefault(class_name, LogHistogram()).add(waited_s * MS_PER_S)

    def add_wasted_tokens(self, tokens: int) -> None:
        """Add wasted tokens."""
        self._wasted_tokens += tokens
        self._unassigned_waste_tokens += tokens
        self._decay()

    def add_useful_tokens(self, tokens: int) -> None:
        """Add delivered tokens."""
        self._useful_tokens += tokens
        self._decay()

    def _decay(self) -> None:
        if self._wasted_tokens + self._useful_tokens > HALVING_TOKENS:
            self._wasted_tokens /= 2
            self._useful_tokens /= 2
