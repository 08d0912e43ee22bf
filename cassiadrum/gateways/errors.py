"""Errors of the gateway."""

from cassiadrum.errors import CassiadrumError

__all__ = [
    "HARMFUL_CONTENT",
    "IMMEDIATE_RETRY_AFTER_S",
    "AttemptFailed",
    "Denied",
    "GatewayError",
    "HarmfulRequest",
    "Refused",
]

# Reason of answers to requests with a content under which endpoints end.
HARMFUL_CONTENT = "harmful_content"

# Retry-After in seconds where the next request may succeed at another gateway or endpoint.
IMMEDIATE_RETRY_AFTER_S = 0.02


class GatewayError(CassiadrumError):
    """Base of the errors of the gateway."""


class Refused(GatewayError):
    """The request has not run and will not run; the caller may retry after `retry_after_s`.

    `inputs` are the values behind the decision, for the log.
    """

    def __init__(self, reason: str, retry_after_s: float, **inputs: object) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.inputs = inputs


class HarmfulRequest(Refused):
    """The request holds a content that ends endpoints; no endpoint gets it."""

    def __init__(self, retry_after_s: float, **inputs: object) -> None:
        super().__init__(HARMFUL_CONTENT, retry_after_s, **inputs)


class Denied(GatewayError):
    """The configuration does not allow the request."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class AttemptFailed(GatewayError):
    """An attempt gave no usable answer; with `not_run` the endpoint did not run the request."""

    def __init__(self, reason: str, *, not_run: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.not_run = not_run
