"""Tests of the message codec and the stream buffer."""

import pytest

from cassiadrum.defaults import LIMITS
from cassiadrum.links import (
    BadFrame,
    PositionUnavailable,
    StreamBuffer,
    decode_message,
    decode_messages,
    encode_message,
    make_frames,
)
from cassiadrum.links.data_merges import merge_data
from cassiadrum.links.messages import Ack, Data, FetchDocument, Hello, Message, Versions


class TestCodec:
    """Guards against a frame that decodes to another message than was sent.

    Frames can be malformed, or come from a newer peer with unknown message types.
    """

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

    def test_unknown_type_decodes_to_none(self) -> None:
        assert decode_message(b"\x81\x18\xc8") is None


class TestFrames:
    """Guards against messages that are lost, reordered or too large when they share a frame.

    A frame holds at most 255 messages, and a batch of messages may exceed that or the size limit
    of a frame.
    """

    @pytest.mark.parametrize("count", [1, 2, 23, 24, 255, 256, 700])
    def test_messages_keep_their_order(self, count: int) -> None:
        sent: list[Message] = [FetchDocument(f"service-{index}") for index in range(count)]
        frames = list(make_frames(map(encode_message, sent)))
        assert len(frames) == -(-count // 255)
        assert [msg for frame in frames for msg in decode_messages(frame)] == sent

    def test_unknown_type_in_a_frame_does_not_hide_the_others(self) -> None:
        frame = b"\x82\x81\x18\xc8" + encode_message(FetchDocument("s"))
        assert decode_messages(frame) == [None, FetchDocument("s")]

    @pytest.mark.parametrize("frame", [b"\x82\x81\x00\x01", b"\x81\x80", b"\x80"])
    def test_wrong_shape_is_an_error(self, frame: bytes) -> None:
        with pytest.raises(BadFrame):
            decode_messages(frame)

    def test_tokens_that_are_ready_together_share_a_message(self) -> None:
        batch: list[Message] = [Data([(f"r{index}", 0, b"token")]) for index in range(100)]
        batch.insert(50, Ack([("r1", 5)]))
        merged = merge_data(batch)
        assert [type(msg) for msg in merged] == [Data, Ack, Data]
        assert len(list(make_frames(map(encode_message, merged)))) == 1

    def test_large_batch_stays_below_the_frame_limit(self) -> None:
        batch: list[Message] = [Data([("r", index, bytes(60_000))]) for index in range(200)]
        frames = list(make_frames(map(encode_message, merge_data(batch))))
        assert max(map(len, frames)) < LIMITS.FRAME_BYTES
        messages = [msg for frame in frames for msg in decode_messages(frame)]
        parts = [part for msg in messages if isinstance(msg, Data) for part in msg.parts]
        assert [part[1] for part in parts] == list(range(200))


class TestStreamBuffer:
    """Guards against bytes lost or repeated when a stream is attached again.

    The receiver names a position, and the buffer has dropped acknowledged bytes over its
    capacity.
    """

    def test_unacknowledged_bytes_are_kept(self) -> None:
        buffer = StreamBuffer(4)
        buffer.append(b"abcdef")
        assert buffer.full
        assert buffer.read_from(0) == b"abcdef"

    def test_acknowledged_bytes_over_the_capacity_are_dropped(self) -> None:
        buffer = StreamBuffer(4)
        buffer.append(b"abcdef")
        buffer.ack(5)
        assert buffer.read_from(2) == b"cdef"
        with pytest.raises(PositionUnavailable):
            buffer.read_from(1)

    def test_position_beyond_the_end_is_an_error(self) -> None:
        with pytest.raises(PositionUnavailable):
            StreamBuffer(4).read_from(1)
