"""Filter that limits repeated log lines."""

import logging
from collections.abc import Callable
from typing import Final

__all__ = ["BOUNDED_FIELD", "RepeatFilter"]

LINES_MAX: Final = 5
WINDOW_S: Final = 10.0
# Beyond this many different messages in a window, further ones are not limited.
MESSAGES_MAX: Final = 1000

# Set on records whose source bounds their number itself.
BOUNDED_FIELD: Final = "bounded"

logger = logging.getLogger(__name__)

_Key = tuple[str, int, str]


class RepeatFilter(logging.Filter):
    """Pass `lines` records of the same logger, level and message template in each window.

    A summary line reports how many were left out when the window has ended and any record
    passes, or on `report()`. `monotonic_s` returns monotonic seconds.
    """

    def __init__(
        self,
        monotonic_s: Callable[[], float],
        lines: int = LINES_MAX,
        window_s: float = WINDOW_S,
    ) -> None:
        super().__init__()
        self._monotonic_s = monotonic_s
        self._lines = lines
        self._window_s = window_s
        # Start of the window and number of records in it.
        self._seen: dict[_Key, tuple[float, int]] = {}
        self._next_check_s = monotonic_s() + window_s

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether the record is within the limit."""
        now = self._monotonic_s()
        if now >= self._next_check_s:
            self._next_check_s = now + self._window_s
            self._report_before(now - self._window_s)
        if record.name == __name__ or record.__dict__.pop(BOUNDED_FIELD, False):
            return True
        key = (record.name, record.levelno, str(record.msg))
        start_s, count = self._seen.get(key, (now, 0))
        if now - start_s >= self._window_s:
            self._report(key, count)
            start_s, count = now, 0
        if key in self._seen or len(self._seen) < MESSAGES_MAX:
            self._seen[key] = (start_s, count + 1)
        return count < self._lines

    def report(self) -> None:
        """Report all lines left out so far and start new windows."""
        self._report_before(float("inf"))

    def _report_before(self, limit_s: float) -> None:
        ended = [
            (key, count) for key, (start_s, count) in self._seen.items() if start_s <= limit_s
        ]
        for key, count in ended:
            del self._seen[key]
            self._report(key, count)

    def _report(self, key: _Key, count: int) -> None:
        left_out = count - self._lines
        if left_out > 0:
            name, level, message = key
            logger.log(level, "%d lines of %s left out: %s", left_out, name, message)
