"""Minimum shares of the classes that are not protected."""

from collections.abc import Iterable

from cassiadrum.decisions.class_queues import ClassQueue

__all__ = ["MinShareScheduler"]


class MinShareScheduler:
    """Earliest-deadline-first scheduler that gives overdue classes their minimum share.

    Time is measured in tokens served. A class is overdue when its oldest request exceeded the
    longest wait. The next request of an overdue class becomes eligible at the class's share tag
    and is due tokens / min_share later. As the shares sum to at most 1, a due time is missed by
    at most one request.
    """

    def __init__(self) -> None:
        self._served_tokens = 0.0

    def next_due(self, waiting: Iterable[ClassQueue], now: float) -> ClassQueue | None:
        """Return the eligible overdue class with the earliest due time, or None."""
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
        """Count tokens about to be served and return the advance of the class's share tag.

        A class that tier order serves beyond its share is not charged for the excess. Otherwise
        it would starve at the start of a burst of a higher tier.
        """
        advance = 0.0
        if cls.overdue and cls.share_tag <= self._served_tokens:
            advance = tokens / cls.min_share
        cls.share_tag += advance
        self._served_tokens += tokens
        return advance

    def refund(self, cls: ClassQueue, tokens: float, advance: float) -> None:
        """Reverse the charge for a request that did not run."""
        cls.share_tag -= advance
        self._served_tokens -= tokens


def _due_tokens(cls: ClassQueue) -> float:
    return cls.share_tag + cls.peek().tokens / cls.min_share
