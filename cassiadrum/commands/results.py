"""The result of a command."""

from typing import Any, NamedTuple

from cassiadrum.commands.exit_codes import ExitCode

__all__ = ["Result"]


class Result(NamedTuple):
    """Hold the JSON object and the text lines that a command prints; only one is printed."""

    data: dict[str, Any]
    lines: list[str]
    code: ExitCode = ExitCode.OK
