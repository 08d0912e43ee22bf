"""Validation of a decoded object against a msgspec.Struct, ignoring unknown keys."""

from collections.abc import Mapping

import msgspec

from cassiadrum.schemas.findings import Finding
from cassiadrum.schemas.tables import check_value, short_repr

__all__ = ["check_struct"]


def check_struct(raw: object, schema: type[msgspec.Struct], file: str, path: str) -> list[Finding]:
    """Return a finding for each missing or wrongly typed key of an object and its nested objects.

    `path` is the dotted key path of the object, empty for the top level. An empty list means
    valid.
    """
    if not isinstance(raw, Mapping):
        return [Finding(file, path or "(top level)", short_repr(raw), "a table")]
    prefix = f"{path}." if path else ""
    findings: list[Finding] = []
    for field in msgspec.structs.fields(schema):
        where = prefix + field.encode_name
        if field.encode_name not in raw:
            if field.required:
                findings.append(Finding(file, where, "nothing", "a value; the key is required"))
            continue
        value = raw[field.encode_name]
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            findings += check_struct(value, field.type, file, where)
        else:
            findings += check_value(value, field.type, file, where)
    return findings
