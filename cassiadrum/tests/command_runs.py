"""A runner of the command line for tests."""

import io
import json
from typing import Any, NamedTuple

from cassiadrum.cli import execute

__all__ = ["CommandRun", "run"]


class CommandRun(NamedTuple):
    """Hold the exit code and the output of one command."""

    code: int
    text: str
    errors: str

    @property
    def data(self) -> dict[str, Any]:
        """Return the one JSON object that was printed."""
        (line,) = self.text.splitlines()
        found: dict[str, Any] = json.loads(line)
        return found


async def run(*arguments: str) -> CommandRun:
    """Run one command."""
    stream, errors = io.StringIO(), io.StringIO()
    code = await execute(arguments, stream, errors)
    return CommandRun(code, stream.getvalue(), errors.getvalue())
