"""Configuration of the `logging` package for a daemon."""

import contextlib
import logging
import logging.handlers
import queue
import time
from typing import Any, Final, TextIO

from cassiadrum.logs.bounded_queue_handlers import BoundedQueueHandler
from cassiadrum.logs.context_filters import CONTEXT_FIELDS, ContextFilter
from cassiadrum.logs.errors import LogError
from cassiadrum.logs.redaction_filters import RedactionFilter
from cassiadrum.logs.repeat_filters import RepeatFilter
from cassiadrum.logs.text_formatters import TextFormatter

__all__ = ["configure_logging"]

# Time limit for writing queued records when the handler is closed.
CLOSE_TIMEOUT_S: Final = 1.0

JSON_FIELDS: Final = ("levelname", "name", "message", *CONTEXT_FIELDS)


class _ReportingStreamHandler(logging.StreamHandler[TextIO]):
    """Stream handler that logs the number of suppressed records when it is closed."""

    def __init__(self, stream: TextIO | None, repeat_filter: RepeatFilter) -> None:
        super().__init__(stream)
        self._repeat_filter = repeat_filter

    def close(self) -> None:
        if self in logging.getLogger().handlers:
            self._repeat_filter.report_suppressed()
        super().close()


class _ThreadedHandler(BoundedQueueHandler):
    """Handler that passes records to another handler in a separate thread."""

    def __init__(self, capacity: int, handler: logging.Handler) -> None:
        super().__init__(capacity)
        self._listener = logging.handlers.QueueListener(self.records, handler)
        self._listener.start()

    def close(self) -> None:
        """Write the queued records, but give up after CLOSE_TIMEOUT_S if the stream is blocked."""
        with contextlib.suppress(queue.Full):
            self._listener.enqueue_sentinel()
            thread = getattr(self._listener, "_thread", None)
            if thread is not None:
                thread.join(CLOSE_TIMEOUT_S)
        super().close()


def configure_logging(
    format: str,
    level: str,
    instance: str,
    stream: TextIO | None = None,
    *,
    queue_limit: int = 0,
) -> None:
    """Write all log records as `text` or `json` lines to `stream`, stderr by default.

    With a `queue_limit` above 0, a separate thread writes them from a queue of that many records,
    so that a blocked stream does not block the caller. Replaces the handler of an earlier call.
    Raises LogError on an unknown format or level.
    """
    formatter = _make_formatter(format)
    if level not in logging.getLevelNamesMapping():
        raise LogError(
            f"log level: found {level!r}; allowed: DEBUG, INFO, WARNING, ERROR, CRITICAL"
        )
    repeat_filter = RepeatFilter(time.monotonic)
    handler = _ReportingStreamHandler(stream, repeat_filter)
    handler.setFormatter(formatter)
    handler.addFilter(repeat_filter)
    handler.addFilter(ContextFilter(instance))
    # Last, so that it also redacts the fields that the other filters set.
    handler.addFilter(RedactionFilter())
    root = logging.getLogger()
    for old in [
        old for old in root.handlers if isinstance(old, _ReportingStreamHandler | _ThreadedHandler)
    ]:
        old.close()
        root.removeHandler(old)
    root.addHandler(_ThreadedHandler(queue_limit, handler) if queue_limit else handler)
    root.setLevel(level)


def _make_formatter(name: str) -> logging.Formatter:
    if name == "text":
        return TextFormatter()
    if name != "json":
        raise LogError(f"log format: found {name!r}; allowed: text, json")
    from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415

    class Formatter(JsonFormatter):
        """JSON formatter that omits empty fields."""

        def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
            return {key: value for key, value in log_data.items() if value != ""}

    return Formatter(
        JSON_FIELDS, timestamp="time", rename_fields={"levelname": "level", "name": "logger"}
    )
