"""Errors of the command line."""

from typing import Any

from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.errors import CassiadrumError

__all__ = ["CommandError"]


class CommandError(CassiadrumError):
    """Raised to end a command with an exit code; `data` is added to the JSON output."""

    def __init__(self, code: ExitCode, detail: str, **data: Any) -> None:
        super().__init__(detail)
        self.code = code
        self.data = data
