"""Result of a command."""

from typing import Any, NamedTuple

from cassiadrum.commands.exit_codes import ExitCode

__all__ = ["Result"]


class Result(NamedTuple):
    """Result of a command as a JSON object and as text lines; one of them is printed."""

    data: dict[str, Any]
    lines: list[str]
    code: ExitCode = ExitCode.OK
