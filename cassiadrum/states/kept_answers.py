"""The answer of a once-only call, kept for retries."""

from typing import NamedTuple

__all__ = ["KeptAnswer"]


class KeptAnswer(NamedTuple):
    """Hold status, headers and body; `body_kept` is False when the body could not be stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_kept: bool = True
