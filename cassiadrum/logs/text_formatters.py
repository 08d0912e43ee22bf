"""Formatter of log lines as text."""

import logging

from cassiadrum.logs.context_filters import CONTEXT_FIELDS

__all__ = ["TextFormatter"]


class TextFormatter(logging.Formatter):
    """Formatter of time, level, logger, message, and the context fields that are not empty."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s: %(message)s")

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Return the log line without the traceback, with line breaks of the message escaped."""
        values = ((field, getattr(record, field, "")) for field in CONTEXT_FIELDS)
        fields = "".join(f" {field}={value}" for field, value in values if value != "")
        return super().formatMessage(record).replace("\n", "\\n") + fields
