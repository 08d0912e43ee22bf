"""The stored answer of a once-only call, returned to retries."""

from typing import NamedTuple

__all__ = ["KeptAnswer"]


class KeptAnswer(NamedTuple):
    """Status, headers and body; `body_kept` is False if the body could not be stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_kept: bool = True
