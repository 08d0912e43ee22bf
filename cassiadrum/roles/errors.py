"""Errors of the roles."""

from cassiadrum.errors import CassiadrumError

__all__ = ["InvalidRequest", "RoleError"]


class RoleError(CassiadrumError):
    """Base class of the errors of the roles."""


class InvalidRequest(RoleError):
    """A caller's request cannot be routed; `reason` is a refusal reason for the caller."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
