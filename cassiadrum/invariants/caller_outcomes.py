"""What a caller saw."""

from typing import NamedTuple

__all__ = ["CallerOutcome"]


class CallerOutcome(NamedTuple):
    """State how one request ended for its caller.

    `status` is 0 when no answer came. `ran` is `no`, `yes` or `unknown` as told by a refusal or
    an error event, empty when nothing was told. `expected_digest` is empty when the caller cannot
    know the right answer. `first_token_s` is in seconds since the epoch, None without a token.
    `complete` tells whether the answer ended regularly.
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
