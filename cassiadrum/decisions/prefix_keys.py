"""Keys of prompt prefixes, as used in the cache events of engines."""

from typing import Final

import xxhash

__all__ = ["prefix_keys"]

PREFIX_CHARS: Final = (64, 256, 1024, 4096)


def prefix_keys(prompt: str) -> tuple[int, ...]:
    """Return a 63-bit hash for each prefix length within the prompt, the longest last.

    A prompt shorter than the shortest prefix length gets one key, of the whole prompt.
    """
    lengths = [chars for chars in PREFIX_CHARS if chars <= len(prompt)] or [len(prompt)]
    return tuple(xxhash.xxh64_intdigest(prompt[:chars].encode()) >> 1 for chars in lengths)
