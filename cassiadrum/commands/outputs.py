"""Output of the command line to the terminal, files or pipes."""

import json
import sys
from typing import Any, TextIO

from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.results import Result

__all__ = ["Output"]


class Output:
    """Printer of results as text or JSON, and of progress on a terminal only."""

    def __init__(
        self, as_json: bool, stream: TextIO | None = None, errors: TextIO | None = None
    ) -> None:
        self.as_json = as_json
        self._stream = stream or sys.stdout
        self._errors = errors or sys.stderr

    def print_result(self, result: Result) -> None:
        """Print the result of a command."""
        if self.as_json:
            self.print_json({**result.data, "exit_code": int(result.code)})
            return
        for line in result.lines:
            self.print_text(line + "\n")

    def print_error(self, exc: CommandError) -> None:
        """Print the error that ended a command."""
        if self.as_json:
            self.print_json({"error": str(exc), "exit_code": int(exc.code), **exc.data})
        else:
            print(f"cassiadrum: {exc}", file=self._errors)

    def print_json(self, value: dict[str, Any]) -> None:
        """Print a JSON object on one line."""
        print(json.dumps(value, ensure_ascii=False), file=self._stream, flush=True)

    def print_text(self, text: str) -> None:
        """Print text unchanged and flush it."""
        self._stream.write(text)
        self._stream.flush()

    def print_progress(self, text: str) -> None:
        """Print a line if the error stream is a terminal."""
        if self._errors.isatty():
            print(text, file=self._errors, flush=True)
