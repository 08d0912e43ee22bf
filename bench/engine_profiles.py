"""Speed and cache size of the fake engines."""

from typing import NamedTuple

__all__ = ["ENGINE_PROFILE", "EngineProfile"]


class EngineProfile(NamedTuple):
    """Duration of an engine step and size of the prefix cache.

    A step produces one token for each decoding stream. A step that also carries a prompt chunk
    of `chunk_tokens` takes `prefill_step_s` longer. The cache holds `cache_blocks` prompt blocks.
    """

    base_step_s: float
    stream_step_s: float
    prefill_step_s: float
    chunk_tokens: int
    cache_blocks: int

    def step_s(self, decoding: int, prefilling: bool) -> float:
        """Return the duration of one step in seconds."""
        extra_s = self.prefill_step_s if prefilling else 0.0
        return self.base_step_s + self.stream_step_s * decoding + extra_s

    def best_batch_size(self, target_inter_token_s: float) -> int:
        """Return the largest batch size whose slowest step is within the target, at least 1."""
        room_s = target_inter_token_s - self.base_step_s - self.prefill_step_s
        return max(1, int(room_s / self.stream_step_s + 1e-9))


# 24 streams fit the 40 ms target. The cache holds about half of the prompt blocks that the
# customers of one deployment use, so that placement affects the cache hit rate.
ENGINE_PROFILE = EngineProfile(0.010, 0.00083, 0.010, 256, 40)
