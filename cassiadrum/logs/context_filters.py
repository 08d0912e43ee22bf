"""Filter that adds context fields to log records."""

import logging
from typing import Final

__all__ = ["CONTEXT_FIELDS", "ContextFilter"]

CONTEXT_FIELDS: Final = ("request_id", "service", "instance", "version")


class ContextFilter(logging.Filter):
    """Filter that sets the instance, and context fields not passed in `extra` to empty strings."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the missing fields; every record passes."""
        if not getattr(record, "instance", ""):
            record.instance = self._instance
        for field in CONTEXT_FIELDS:
            if not hasattr(record, field):
                setattr(record, field, "")
        return True
