"""Accounting of min_share among the classes that are not protected."""

from collections.abc import Iterable

from cassiadrum.decisions.class_queues import ClassQueue

__all__ = ["MinShareScheduler"]


class MinShareScheduler:
    """Decide which overdue class is owed its share; the clock is the tokens served so far.

    Each overdue class is released at its tag and due tokens / min_share later. The sum of the
    shares is at most 1, so earliest due first misses a due time by at most one request.
    """

    def __init__(self) -> None:
        self._served_tokens = 0.0

    def next_due(self, waiting: Iterable[ClassQueue], now: float) -> ClassQueue | None:
        """Return the overdue class whose share is due first, or None."""
        due = []
        for cls in waiting:
            overdue = cls.min_share > 0.0 and now - cls.head_arrived_s() > cls.max_wait_s
            if overdue and not cls.overdue:
                cls.share_tag = max(cls.share_tag, self._served_tokens)
            cls.overdue = overdue
            if overdue and cls.share_tag <= self._served_tokens:
                due.append(cls)
        return min(due, key=_due_tokens, default=None)

    def charge(self, cls: ClassQueue, tokens: float) -> float:
        """Count tokens about to be served and return what the class's tag advances by.

        A class that strict order serves beyond its share is not charged for the excess;
        otherwise it would starve when a burst of a higher tier begins.
        """
        advance = 0.0
        if cls.overdue and cls.share_tag <= self._served_tokens:
            advance = tokens / cls.min_share
        cls.share_tag += advance
        self._served_tokens += tokens
        return advance

    def refund(self, cls: ClassQueue, tokens: float, advance: float) -> None:
        """Take back a charge for a request that did not run."""
        cls.share_tag -= advance
        self._served_tokens -= tokens


def _due_tokens(cls: ClassQueue) -> float:
    return cls.share_tag + cls.peek().tokens / cls.min_share
