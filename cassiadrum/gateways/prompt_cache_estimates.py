"""Estimate of the contents of an endpoint's prompt cache."""

from collections.abc import Sequence

from cassiadrum.gateways.calls import PromptPart

__all__ = ["PromptCacheEstimate"]


class PromptCacheEstimate:
    """The prompt parts that an endpoint is expected to keep; the least recently used yield.

    `capacity_tokens` is the share of the endpoint's cache assumed for this gateway's prompts.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens: dict[str, int] = {}
        self._total = 0

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Add parts as the most recently used, evicting others beyond the capacity."""
        for part in parts:
            self._total -= self._tokens.pop(part.part_id, 0)
            self._tokens[part.part_id] = part.tokens
            self._total += part.tokens
        while self._total > self._capacity_tokens and len(self._tokens) > 1:
            oldest = next(iter(self._tokens))
            self._total -= self._tokens.pop(oldest)

    def matched_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the length in tokens of the longest cached prefix."""
        matched = 0
        for part in parts:
            if part.part_id not in self._tokens:
                break
            matched += part.tokens
        return matched
