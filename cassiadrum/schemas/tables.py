"""Validation of a TOML table against a TypedDict."""

from collections.abc import Mapping
from difflib import get_close_matches
from typing import Any, NotRequired, get_args, get_origin, get_type_hints

import msgspec

from cassiadrum.schemas.descriptions import describe
from cassiadrum.schemas.findings import Finding

__all__ = ["check_table", "check_value", "short_repr"]


def check_table(raw: object, schema: Any, file: str, path: str) -> list[Finding]:
    """Return a finding for each unknown, missing or wrongly typed key of a table.

    `schema` is a TypedDict whose annotations may carry `msgspec.Meta` ranges; `path` is the
    dotted key path of the table, empty for the top level. An empty list means valid.
    """
    if not isinstance(raw, Mapping):
        return [Finding(file, path or "(top level)", short_repr(raw), "a table")]
    hints = get_type_hints(schema, include_extras=True)
    prefix = f"{path}." if path else ""
    findings = [
        Finding(file, prefix + key, "an unknown key", _suggest_keys(key, list(hints)))
        for key in raw
        if key not in hints
    ]
    for key, hint in hints.items():
        if key in raw:
            findings += check_value(raw[key], hint, file, prefix + key)
        elif key in schema.__required_keys__:
            findings.append(Finding(file, prefix + key, "nothing", "a value; the key is required"))
    return findings


def check_value(value: object, hint: Any, file: str, path: str) -> list[Finding]:
    """Return a finding if the value does not match its annotation, else an empty list."""
    if get_origin(hint) is NotRequired:
        (hint,) = get_args(hint)
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        return [Finding(file, path, short_repr(value), describe(hint))]
    return []


def _suggest_keys(key: str, keys: list[str]) -> str:
    near = get_close_matches(key, keys, n=1, cutoff=0.5)
    return f"`{near[0]}` (nearest known key)" if near else f"one of {', '.join(sorted(keys))}"


def short_repr(value: object) -> str:
    """Return the representation of a value, shortened to 60 characters."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
