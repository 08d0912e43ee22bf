"""Errors of the HTTP layer."""

from cassiadrum.errors import CassiadrumError

__all__ = ["AnswerLost", "BadMessage", "ConnectFailed", "HttpError"]


class HttpError(CassiadrumError):
    """Base of the errors of the HTTP layer."""


class BadMessage(HttpError):
    """The peer sent a message that is not valid HTTP or passes a limit."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class ConnectFailed(HttpError):
    """No connection could be made, so the request was certainly not sent."""


class AnswerLost(HttpError):
    """The request was sent in part or whole and its answer did not arrive in full."""
