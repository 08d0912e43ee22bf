"""Encoding of events as lists of plain values (for CBOR) and as JSON lines."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from cassiadrum.events.errors import EventError
from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.events import Event

__all__ = ["decode_event", "encode_event", "read_json_lines", "to_json_line"]

KIND_INDEX = Event._fields.index("kind")
FIELDS_INDEX = Event._fields.index("fields")


def encode_event(event: Event) -> list[Any]:
    """Return the event as a list of plain values in the order of its fields."""
    plain: list[Any] = list(event)
    plain[0] = list(event.hlc)
    plain[KIND_INDEX] = event.kind.value
    return plain


def decode_event(plain: object) -> Event:
    """Decode an event from a list returned by `encode_event`.

    A kind that this version does not know becomes `EventKind.UNKNOWN`, and its name is stored in
    the field `unknown_kind`. Raises EventError on any other mismatch.
    """
    try:
        return msgspec.convert(_replace_unknown_kind(plain), Event)
    except msgspec.ValidationError as exc:
        raise EventError(f"cannot decode event: {exc}") from exc


def to_json_line(event: Event) -> str:
    """Return the event as one JSON object without a line break."""
    plain = dict(zip(Event._fields, encode_event(event), strict=True))
    return json.dumps(plain, ensure_ascii=False, separators=(",", ":"))


def read_json_lines(lines: Iterable[str | bytes]) -> Iterator[Event]:
    """Decode events from JSON lines, skipping empty lines.

    Raises EventError with the line number on a line that does not hold an event.
    """
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            raw = json.loads(line)
            yield decode_event([raw[name] for name in Event._fields])
        except (ValueError, KeyError, TypeError, EventError) as exc:
            raise EventError(f"line {number}: {exc}") from exc


def _replace_unknown_kind(plain: object) -> object:
    if not isinstance(plain, list | tuple) or len(plain) != len(Event._fields):
        return plain
    kind, fields = plain[KIND_INDEX], plain[FIELDS_INDEX]
    if not isinstance(kind, str) or not isinstance(fields, dict) or kind in set(EventKind):
        return plain
    known = list(plain)
    known[KIND_INDEX] = EventKind.UNKNOWN.value
    known[FIELDS_INDEX] = {**fields, "unknown_kind": kind}
    return known
