"""Logging as text or JSON, with rate-limited repetitions and redacted secrets."""

from cassiadrum.logs.context_filters import CONTEXT_FIELDS, ContextFilter
from cassiadrum.logs.errors import LogError
from cassiadrum.logs.redaction_filters import RedactionFilter
from cassiadrum.logs.repeat_filters import RATE_LIMITED_FIELD, RepeatFilter
from cassiadrum.logs.set_up import configure_logging
from cassiadrum.logs.text_formatters import TextFormatter

__all__ = [
    "CONTEXT_FIELDS",
    "RATE_LIMITED_FIELD",
    "ContextFilter",
    "LogError",
    "RedactionFilter",
    "RepeatFilter",
    "TextFormatter",
    "configure_logging",
]
