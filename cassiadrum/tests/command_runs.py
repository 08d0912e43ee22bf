"""Runs commands of the command line in the process of the test."""

import io
import json
from typing import Any, NamedTuple

from cassiadrum.cli import execute

__all__ = ["CommandRun", "run"]


class CommandRun(NamedTuple):
    """Exit code, output and error output of one command."""

    code: int
    text: str
    errors: str

    @property
    def data(self) -> dict[str, Any]:
        """Return the output, which has to be one line with a JSON object."""
        (line,) = self.text.splitlines()
        found: dict[str, Any] = json.loads(line)
        return found


async def run(*arguments: str) -> CommandRun:
    """Run one command with its arguments and return the result."""
    stream, errors = io.StringIO(), io.StringIO()
    code = await execute(arguments, stream, errors)
    return CommandRun(code, stream.getvalue(), errors.getvalue())
