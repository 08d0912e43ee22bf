"""Merging and splitting of data messages."""

from cassiadrum.links.messages import Data, Message

__all__ = ["MAX_MERGED_BYTES", "merge_data", "split_data"]

# Each stream that is attached again sends up to 256 KiB. Several of them merged into one frame
# would exceed the frame size limit.
MAX_MERGED_BYTES = 256 * 1024


def merge_data(batch: list[Message]) -> list[Message]:
    """Merge consecutive data messages, up to MAX_MERGED_BYTES each.

    One message per token would cost too much CPU time.
    """
    merged: list[Message] = []
    parts: list[tuple[str, int, bytes]] | None = None
    size = 0
    for msg in batch:
        if not isinstance(msg, Data):
            parts = None
            merged.append(msg)
            continue
        added = sum(len(part[2]) for part in msg.parts)
        if parts is None or size + added > MAX_MERGED_BYTES:
            parts, size = [], 0
            merged.append(Data(parts))
        parts += msg.parts
        size += added
    return merged


def split_data(attempt_id: str, position: int, data: bytes) -> list[Data]:
    """Return messages of at most MERGED_BYTES each for the bytes from `position` on."""
    return [
        Data([(attempt_id, position + start, data[start : start + MAX_MERGED_BYTES])])
        for start in range(0, len(data), MAX_MERGED_BYTES)
    ]
