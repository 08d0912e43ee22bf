"""Errors of the HTTP layer."""

from cassiadrum.errors import CassiadrumError

__all__ = ["AnswerLost", "BadMessage", "BodyTooLarge", "ConnectFailed", "HttpError"]


class HttpError(CassiadrumError):
    """Base of the errors of the HTTP layer."""


class BadMessage(HttpError):
    """The peer sent a message that is not valid HTTP or exceeds a limit.

    `status` is the HTTP status that a server answers with; `detail` names the error.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class BodyTooLarge(BadMessage):
    """The body of a response exceeds the limit of the reader."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(502, f"the body is larger than {limit_bytes} bytes")


class ConnectFailed(HttpError):
    """The request was not sent: no connection was established, or it is not valid HTTP."""


class AnswerLost(HttpError):
    """The request was sent, in part or in full, but no complete response was received."""
