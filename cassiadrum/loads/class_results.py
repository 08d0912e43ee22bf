"""Results of the requests of one class, as seen by their callers."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from cassiadrum.documents import RequestClass

__all__ = ["ClassResult"]

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0)


class ClassResult:
    """The outcomes of a class and their latencies.

    Latencies are in seconds from the planned time of arrival. Otherwise a sender or server that
    falls behind would hide the wait of later requests (coordinated omission).
    """

    def __init__(self, cls: RequestClass, kind: str) -> None:
        self.sent = 0
        self.answered = 0
        self.attained = 0
        self.tokens = 0
        self.refusals: Counter[str] = Counter()
        self.first_token: Any = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.total: Any = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._cls = cls
        self._kind = kind

    def record_answer(self, first_s: float, total_s: float, tokens: int) -> None:
        """Count a complete answer, and whether it attained the targets of the class."""
        self.answered += 1
        self.tokens += tokens
        self.first_token.record_value(_microseconds(first_s))
        self.total.record_value(_microseconds(total_s))
        if self._kind == "plain":
            self.attained += total_s <= self._cls.target_total_s
            return
        gap_s = (total_s - first_s) / max(1, tokens - 1)
        in_time = first_s <= self._cls.target_first_token_s
        self.attained += in_time and gap_s <= self._cls.target_inter_token_s

    def as_dict(self) -> dict[str, Any]:
        """Return the results for a report; attainment is None without an answer.

        `latency_s` is the time to the first token of a model or to the whole answer of a plain
        service, and `target_s` its target. `attainment_of_sent` counts refused requests as missed.
        """
        plain = self._kind == "plain"
        return {
            "sent": self.sent,
            "answered": self.answered,
            "attainment": self.attained / self.answered if self.answered else None,
            "attainment_of_sent": self.attained / self.sent if self.sent else None,
            "goodput_tokens": self.tokens,
            "refusals": dict(self.refusals),
            "target_s": self._cls.target_total_s if plain else self._cls.target_first_token_s,
            "latency_s": _percentiles(self.total if plain else self.first_token),
            "total_s": _percentiles(self.total),
        }


def _microseconds(seconds: float) -> int:
    return min(max(1, round(seconds * 1e6)), MAX_LATENCY_US)


def _percentiles(histogram: Any) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    shares = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES}
    return {**shares, "max": histogram.get_max_value() / 1e6}
