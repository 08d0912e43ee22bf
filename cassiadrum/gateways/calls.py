"""A caller's request as the gateway handles it."""

from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["Call", "PromptPart"]


class PromptPart(NamedTuple):
    """Identifier and length in tokens of a part of a prompt that requests may share."""

    part_id: str
    tokens: int


class Call(NamedTuple):
    """A complete request; `headers` are the caller's headers that are forwarded to endpoints.

    `key` is None without a key, and empty if the key cannot be read. `prompt` lists the parts in
    order; the last one is not shared with other requests. `timeout_s` is the caller's timeout in
    seconds, None if not stated. `shared_parts` identifies all parts but the last, also those that
    `prompt` leaves out because their sizes cannot be read or because there are too many of them.
    `last_event_id` is that of the last event that the caller has of a stream that broke off, and
    `resumes` the id of the request that brought the first event of it; both are empty if the
    caller has no event.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    timeout_s: float | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    last_event_id: str
    shared_parts: tuple[str, ...] = ()
    resumes: str = ""

    @property
    def path(self) -> str:
        """Return the request target without its query."""
        return self.target.partition("?")[0]
