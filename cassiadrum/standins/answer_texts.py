"""Deterministic answers of the stand-in engine, derived from the prompt."""

import xxhash

__all__ = ["answer_text", "answer_tokens"]

MIN_TOKENS = 8
TOKEN_COUNT_RANGE = 56
VOCABULARY_SIZE = 9973


def answer_tokens(prompt: str, max_tokens: int = 0) -> list[str]:
    """Return the tokens of the answer to a prompt; `max_tokens` 0 means no limit.

    Equal prompts give equal tokens, so that callers can verify answers.
    """
    count = MIN_TOKENS + xxhash.xxh32_intdigest(prompt.encode()) % TOKEN_COUNT_RANGE
    if max_tokens:
        count = min(count, max_tokens)
    return [
        f"w{xxhash.xxh32_intdigest(prompt.encode(), seed=i) % VOCABULARY_SIZE} "
        for i in range(count)
    ]


def answer_text(prompt: str, max_tokens: int = 0) -> str:
    """Return the text of the answer to a prompt."""
    return "".join(answer_tokens(prompt, max_tokens))
