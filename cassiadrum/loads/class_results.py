"""What callers of one class saw."""

from collections import Counter

from cassiadrum.documents import RequestClass

__all__ = ["ClassResult"]


class ClassResult:
    """Count the outcomes of a class; latencies in seconds."""

    def __init__(self, cls: RequestClass, kind: str) -> None:
        self.sent = 0
        self.answered = 0
        self.attained = 0
        self.tokens = 0
        self.refusals: Counter[str] = Counter()
        self.first_token_s: list[float] = []
        self._cls = cls
        self._kind = kind

    def answer(self, first_s: float, total_s: float, tokens: int) -> None:
        """Count a whole answer; the targets decide whether it was in time."""
        self.answered += 1
        self.tokens += tokens
        self.first_token_s.append(first_s)
        if self._kind == "plain":
            self.attained += total_s <= self._cls.target_total_s
            return
        gap_s = (total_s - first_s) / max(1, tokens - 1)
        in_time = first_s <= self._cls.target_first_token_s
        self.attained += in_time and gap_s <= self._cls.target_inter_token_s

    def as_dict(self) -> dict[str, object]:
        """Return the counts for a report; attainment is None without an answer."""
        attainment = self.attained / self.answered if self.answered else None
        return {
            "sent": self.sent,
            "answered": self.answered,
            "attainment": attainment,
            "goodput_tokens": self.tokens,
            "refusals": dict(self.refusals),
        }
