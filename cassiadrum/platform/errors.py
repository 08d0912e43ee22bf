"""Errors of the platform adapter."""

from collections.abc import Mapping
from typing import Final

import msgspec

from cassiadrum.errors import CassiadrumError
from cassiadrum.platform.row_pages import ChangedRow
from cassiadrum.schemas import Finding
from cassiadrum.stores.errors import StoreUnavailable

__all__ = [
    "DECODE_ERRORS",
    "AnswerCutOff",
    "AnswerTooLarge",
    "BadRecord",
    "BadSettings",
    "HistoryGone",
    "PlatformError",
    "StartFailed",
    "StoreRestored",
    "WriteConflict",
]


# Errors of decoding bytes from other processes; a deeply nested document raises RecursionError.
DECODE_ERRORS: Final = (msgspec.MsgspecError, ValueError, RecursionError)


class PlatformError(CassiadrumError):
    """Base class of the errors of the platform adapter."""


class BadSettings(PlatformError):
    """A settings file is invalid; `findings` lists every error in it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class BadRecord(PlatformError):
    """A row of the store cannot be decoded or has invalid values."""


class HistoryGone(PlatformError):
    """The store no longer keeps the changes since the requested version."""


class AnswerCutOff(StoreUnavailable):
    """A large answer of the store broke off, or stalled."""


class AnswerTooLarge(StoreUnavailable):
    """An answer of the store exceeds the size that is read."""


class StoreRestored(PlatformError):
    """The store was restored from an older copy, so its versions have gone back."""


class WriteConflict(PlatformError):
    """A row that a write changes has another version than the write expects.

    `rows` are those that exist among the ones with an expected version, by key.
    """

    def __init__(self, rows: Mapping[str, ChangedRow]) -> None:
        versions = {row.key: row.version for row in rows.values()}
        super().__init__(f"rows have the versions {versions}")
        self.rows = rows

    def version(self, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        row = self.rows.get(key)
        return 0 if row is None else row.version


class StartFailed(PlatformError):
    """The process cannot listen on an address in its settings."""
