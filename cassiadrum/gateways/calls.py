"""A caller's request as the gateway handles it."""

from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["Call", "PromptPart"]


class PromptPart(NamedTuple):
    """Name a part of a prompt that requests may share, with its length in tokens."""

    part_id: str
    tokens: int


class Call(NamedTuple):
    """Hold one whole request; `headers` are those that endpoints get from the caller.

    `prompt` lists the parts in order; the last one belongs to the request alone. `timeout_s` is
    the time in seconds that the caller waits, None where it does not say.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str
    timeout_s: float | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    last_event_id: str

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]
