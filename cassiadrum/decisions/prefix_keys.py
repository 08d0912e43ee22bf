"""Keys of prompt prefixes, as engines name them in their cache events."""

from typing import Final

import xxhash

__all__ = ["prefix_keys"]

PREFIX_CHARS: Final = (64, 256, 1024, 4096)


def prefix_keys(prompt: str) -> tuple[int, ...]:
    """Return a 63-bit key for each prefix length that the prompt reaches, longest last."""
    lengths = [chars for chars in PREFIX_CHARS if chars <= len(prompt)] or [len(prompt)]
    return tuple(xxhash.xxh64_intdigest(prompt[:chars].encode()) >> 1 for chars in lengths)
