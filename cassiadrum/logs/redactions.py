"""Redaction of secrets in strings and nested values."""

import re
from collections.abc import Mapping
from typing import Any, Final

__all__ = ["REDACTED", "redact_text", "redact_value"]

REDACTED: Final = "[redacted]"

SECRET_NAMES: Final = frozenset(
    {
        "authorization",
        "proxy-authorization",
        "cookie",
        "set-cookie",
        "x-api-key",
        "api-key",
        "api_key",
        "password",
        "private_key",
        "secret",
        "token",
    }
)
_REPLACEMENTS: Final = (
    # PEM blocks of private keys, also truncated ones.
    (
        re.compile(
            r"-----BEGIN [A-Z0-9 ]*PRIVATE KEY-----.*?(-----END [A-Z0-9 ]*PRIVATE KEY-----|\Z)",
            re.DOTALL,
        ),
        REDACTED,
    ),
    # A credential header as text, dict item or pair, with or without bytes literals.
    (
        re.compile(
            r"""(?ix) \b ((?:proxy-)?authorization|(?:set-)?cookie|x-api-key|api[-_]key)
            (['"]?\s*[:=,]\s*) (b?'[^']*'|b?"[^"]*"|[^\r\n]*)"""
        ),
        rf"\1\2{REDACTED}",
    ),
    (re.compile(r"(?i)\b(bearer)\s+(?!\[redacted\])[A-Za-z0-9._~+/=-]{6,}"), rf"\1 {REDACTED}"),
    # Requiring a capital, digit or padding excludes ordinary words after "basic".
    (
        re.compile(r"\b([Bb]asic)\s+(?=\S*[A-Z0-9=])[A-Za-z0-9+/]{6,}={0,2}"),
        rf"\1 {REDACTED}",
    ),
)


def redact_text(text: str) -> str:
    """Return the text with private keys, credentials and credential headers redacted."""
    for pattern, replacement in _REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


def redact_value(value: Any) -> Any:
    """Return the value with secrets in nested dicts, lists and header pairs redacted."""
    if isinstance(value, bytes):
        value = value.decode("utf-8", "replace")
    if isinstance(value, str):
        return redact_text(value)
    if isinstance(value, Mapping):
        return {k: REDACTED if _is_secret_name(k) else redact_value(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        if len(value) == 2 and _is_secret_name(value[0]):
            return [value[0], REDACTED]
        return [redact_value(item) for item in value]
    if value is None or isinstance(value, bool | int | float):
        return value
    return redact_text(str(value))


def _is_secret_name(name: object) -> bool:
    if isinstance(name, bytes):
        name = name.decode("latin-1")
    return isinstance(name, str) and name.lower() in SECRET_NAMES
