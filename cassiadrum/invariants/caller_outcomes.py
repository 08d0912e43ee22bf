"""Outcome of a request as observed by its caller."""

from typing import NamedTuple

__all__ = ["CallerOutcome"]


class CallerOutcome(NamedTuple):
    """Outcome of one request as observed by its caller.

    `status` is 0 if no answer was received. `ran` is `no`, `yes` or `unknown` as stated by a
    refusal or an error event, or empty if neither was received. `expected_digest` is empty if the
    caller cannot know the correct answer. `first_token_s` is in seconds since the epoch, or None
    if no token was received. `complete` is True if the answer was not truncated.
    """

    request_id: str
    service: str
    class_name: str
    customer: str
    key: str
    status: int
    ran: str
    body_digest: str
    expected_digest: str
    first_token_s: float | None
    complete: bool
