"""Filter that redacts secrets in log records."""

import logging
from typing import Final

from cassiadrum.logs.redactions import redact_text, redact_value

__all__ = ["RedactionFilter"]

STANDARD_FIELDS: Final = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
_FORMATTER: Final = logging.Formatter()


class RedactionFilter(logging.Filter):
    """Filter that redacts secrets in message, traceback and extra fields of a record."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Redact the record; every record passes."""
        record.msg = redact_text(_message(record))
        record.args = ()
        if record.exc_info:
            record.exc_text = record.exc_text or _FORMATTER.formatException(record.exc_info)
            # Without exc_info, a formatter cannot format the unredacted exception again.
            record.exc_info = None
        if record.exc_text:
            record.exc_text = redact_text(record.exc_text)
        if record.stack_info:
            record.stack_info = redact_text(record.stack_info)
        for name in record.__dict__.keys() - STANDARD_FIELDS:
            setattr(record, name, redact_value({name: getattr(record, name)})[name])
        return True


def _message(record: logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except (TypeError, ValueError, KeyError):
        # The error report of the handler would contain the unredacted arguments.
        return f"{record.msg} (arguments do not match the message)"
