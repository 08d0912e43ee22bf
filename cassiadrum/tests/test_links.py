"""Tests of the codec and the stream buffer."""

import pytest

from cassiadrum.links import BadFrame, BytesGone, StreamBuffer, decode_message, encode_message
from cassiadrum.links.messages import Data, Hello, Versions


class TestCodec:
    """Guards against a frame that is read as something else than was sent."""

    @pytest.mark.parametrize(
        "msg",
        [
            Hello(1, "entry-1", "entry", "muenchen-a", "ab"),
            Data([("r", 3, b"x")]),
            Versions({"s": 2}),
        ],
    )
    def test_round_trip(self, msg: Hello | Data | Versions) -> None:
        assert decode_message(encode_message(msg)) == msg

    @pytest.mark.parametrize("frame", [b"", b"\xff", b"\x01", b"\x80", b"\x82\x00\x01"])
    def test_wrong_shape_is_an_error(self, frame: bytes) -> None:
        with pytest.raises(BadFrame):
            decode_message(frame)

    def test_unknown_type_is_told_apart(self) -> None:
        assert decode_message(b"\x81\x18\xc8") is None


class TestStreamBuffer:
    """Guards against bytes lost or doubled when a stream is attached again."""

    def test_unacknowledged_bytes_are_kept(self) -> None:
        buffer = StreamBuffer(4)
        buffer.append(b"abcdef")
        assert buffer.full
        assert buffer.since(0) == b"abcdef"

    def test_acknowledged_bytes_over_the_capacity_are_dropped(self) -> None:
        buffer = StreamBuffer(4)
        buffer.append(b"abcdef")
        buffer.ack(5)
        assert buffer.since(2) == b"cdef"
        with pytest.raises(BytesGone):
            buffer.since(1)

    def test_position_ahead_is_an_error(self) -> None:
        with pytest.raises(BytesGone):
            StreamBuffer(4).since(1)
