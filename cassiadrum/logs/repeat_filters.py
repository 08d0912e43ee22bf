"""Filter that rate-limits repeated log messages."""

import logging
from collections.abc import Callable
from typing import Final

__all__ = ["RATE_LIMITED_FIELD", "RepeatFilter"]

RECORDS_MAX: Final = 5
WINDOW_S: Final = 10.0
# Limit of tracked message templates; further templates are not rate-limited.
TEMPLATES_MAX: Final = 1000

# Attribute of records that their source rate-limits itself; the filter lets them pass.
RATE_LIMITED_FIELD: Final = "bounded"

logger = logging.getLogger(__name__)

_TemplateKey = tuple[str, int, str]


class RepeatFilter(logging.Filter):
    """Filter of up to `records_max` records per logger, level and message template in each window.

    The number of suppressed records is logged when a record arrives after the end of the window,
    or by `report_suppressed()`. `monotonic_s` returns monotonic seconds.
    """

    def __init__(
        self,
        monotonic_s: Callable[[], float],
        records_max: int = RECORDS_MAX,
        window_s: float = WINDOW_S,
    ) -> None:
        super().__init__()
        self._monotonic_s = monotonic_s
        self._records_max = records_max
        self._window_s = window_s
        # Start of the window in monotonic seconds, and number of records in it, by template.
        self._windows: dict[_TemplateKey, tuple[float, int]] = {}
        self._next_sweep_s = monotonic_s() + window_s

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit."""
        now = self._monotonic_s()
        if now >= self._next_sweep_s:
            self._next_sweep_s = now + self._window_s
            self._close_windows(now - self._window_s)
        if record.name == __name__ or record.__dict__.pop(RATE_LIMITED_FIELD, False):
            return True
        key = (record.name, record.levelno, str(record.msg))
        start_s, count = self._windows.get(key, (now, 0))
        if now - start_s >= self._window_s:
            self._log_suppressed(key, count)
            start_s, count = now, 0
        if key in self._windows or len(self._windows) < TEMPLATES_MAX:
            self._windows[key] = (start_s, count + 1)
        return count < self._records_max

    def report_suppressed(self) -> None:
        """Log the number of records suppressed so far and start new windows."""
        self._close_windows(float("inf"))

    def _close_windows(self, started_by_s: float) -> None:
        ended = [
            (key, count)
            for key, (start_s, count) in self._windows.items()
            if start_s <= started_by_s
        ]
        for key, count in ended:
            del self._windows[key]
            self._log_suppressed(key, count)

    def _log_suppressed(self, key: _TemplateKey, count: int) -> None:
        suppressed = count - self._records_max
        if suppressed > 0:
            name, level, message = key
            logger.log(level, "%d lines of %s left out: %s", suppressed, name, message)
