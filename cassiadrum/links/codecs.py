"""CBOR codec of the messages."""

import io
from typing import Final

import cbor2
import msgspec

from cassiadrum.links.errors import BadFrame
from cassiadrum.links.messages import MESSAGE_TYPES, Message

__all__ = ["decode_message", "encode_message"]

_CODES: Final = {kind: code for code, kind in enumerate(MESSAGE_TYPES)}


def encode_message(msg: Message) -> bytes:
    """Return the frame of a message."""
    return cbor2.dumps([_CODES[type(msg)], *msg])


def decode_message(frame: bytes) -> Message | None:
    """Return the message of a frame, or None when its type is unknown.

    Raises BadFrame when the frame is not a message of the right shape.
    """
    try:
        raw = cbor2.CBORDecoder(io.BytesIO(frame)).decode()
    except Exception as exc:
        raise BadFrame(f"not CBOR: {type(exc).__name__}") from exc
    if not isinstance(raw, list) or not raw or type(raw[0]) is not int or raw[0] < 0:
        raise BadFrame("not an array that begins with a type code")
    if raw[0] >= len(MESSAGE_TYPES):
        return None
    kind = MESSAGE_TYPES[raw[0]]
    fields = raw[1 : 1 + len(kind._fields)]
    try:
        return msgspec.convert(fields, kind)
    except (msgspec.ValidationError, RecursionError, OverflowError) as exc:
        raise BadFrame(f"{kind.__name__}: {exc}") from exc
