"""CBOR encoding and decoding of link messages."""

import io
from collections.abc import Iterable, Iterator
from typing import Final

import cbor2
import msgspec

from cassiadrum.links.errors import BadFrame
from cassiadrum.links.messages import MESSAGE_TYPES, Message

__all__ = ["decode_message", "decode_messages", "encode_message", "make_frames"]

# A frame is closed before it exceeds this many bytes or messages. One message may be longer.
FRAME_TARGET_BYTES: Final = 256 * 1024
MAX_FRAME_MESSAGES: Final = 255

_TYPE_CODES: Final = {kind: code for code, kind in enumerate(MESSAGE_TYPES)}


def encode_message(msg: Message) -> bytes:
    """Return the CBOR array of a message."""
    return cbor2.dumps([_TYPE_CODES[type(msg)], *msg])


def make_frames(encoded: Iterable[bytes]) -> Iterator[bytes]:
    """Yield frames that hold the encoded messages in order.

    A frame is one message or a CBOR array of messages. Messages are batched because each frame
    costs a system call on both sides.
    """
    parts: list[bytes] = []
    size = 0
    for part in encoded:
        if parts and (size + len(part) > FRAME_TARGET_BYTES or len(parts) == MAX_FRAME_MESSAGES):
            yield _join_messages(parts)
            parts, size = [], 0
        parts.append(part)
        size += len(part)
    if parts:
        yield _join_messages(parts)


def _join_messages(parts: list[bytes]) -> bytes:
    if len(parts) == 1:
        return parts[0]
    # 0x98 begins a CBOR array whose length is given in one byte.
    return b"".join((bytes((0x98, len(parts))), *parts))


def decode_message(frame: bytes) -> Message | None:
    """Return the message of a frame, or None when its type is unknown.

    Raises BadFrame when the frame is not exactly one valid message.
    """
    return _convert_message(_decode_cbor(frame))


def decode_messages(frame: bytes) -> list[Message | None]:
    """Return the messages of a frame, with None for each of an unknown type.

    Raises BadFrame when the frame is not a message or an array of messages.
    """
    raw = _decode_cbor(frame)
    if isinstance(raw, list) and raw and isinstance(raw[0], list):
        if len(raw) > MAX_FRAME_MESSAGES:
            raise BadFrame(f"frame has more than {MAX_FRAME_MESSAGES} messages")
        return [_convert_message(item) for item in raw]
    return [_convert_message(raw)]


def _decode_cbor(frame: bytes) -> object:
    try:
        return cbor2.CBORDecoder(io.BytesIO(frame)).decode()
    except Exception as exc:
        raise BadFrame(f"frame is not valid CBOR: {type(exc).__name__}") from exc


def _convert_message(raw: object) -> Message | None:
    if not isinstance(raw, list) or not raw or type(raw[0]) is not int or raw[0] < 0:
        raise BadFrame("message is not an array that begins with a type code")
    if raw[0] >= len(MESSAGE_TYPES):
        return None
    kind = MESSAGE_TYPES[raw[0]]
    fields = raw[1 : 1 + len(kind._fields)]
    try:
        return msgspec.convert(fields, kind)
    except (msgspec.ValidationError, RecursionError, OverflowError) as exc:
        raise BadFrame(f"invalid fields of {kind.__name__}: {exc}") from exc
