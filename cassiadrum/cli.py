"""Entry point of `cassiadrum`, the operators' command line."""

import asyncio
import os
import sys
from collections.abc import Sequence
from typing import Final, NamedTuple, TextIO

import fire

from cassiadrum.commands import (
    Action,
    CommandError,
    ExitCode,
    Output,
    ServiceCommands,
    Session,
    SettingsCommands,
    drain,
    explain,
    log,
    request,
    run_action,
    status,
    timeline,
)

__all__ = ["execute", "main"]

# Exit code that a shell reports for a program ended by SIGINT.
EXIT_INTERRUPTED: Final = 130
# Exit code that a shell reports for a program ended by SIGPIPE, for example before `| head`.
EXIT_PIPE_CLOSED: Final = 141


class CommandLine:
    """The commands for services, settings, processes, the timeline and single requests.

    --platform is TABLE_SERVICE,INSTANCE_LIST (two HOST:PORT) or a TOML file with a table
    [platform]; by default, the environment variable CASSIADRUM_PLATFORM is used. --json prints
    one JSON object with the exit code in `exit_code`. Both options can be given anywhere.

    Exit codes: 0 ok, 2 bad input, 3 refused or conflict, 4 unreachable, 5 outcome unknown.

    Example: cassiadrum status --platform 127.0.0.1:7001,127.0.0.1:7002 --json
    """

    def __init__(self) -> None:
        self.service = ServiceCommands()
        self.settings = SettingsCommands()
        self.status = status
        self.timeline = timeline
        self.explain = explain
        self.log = log
        self.drain = drain
        self.request = request


class ParsedArguments(NamedTuple):
    """Command and options from the command line; `action` is None after help was shown."""

    action: Action | None
    platform: str
    as_json: bool


def main() -> None:
    """Run one command and exit with its code."""
    try:
        code = asyncio.run(execute(sys.argv[1:]))
    except KeyboardInterrupt:
        code = EXIT_INTERRUPTED
    except BrokenPipeError:
        # Without this, the interpreter reports the closed pipe again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = EXIT_PIPE_CLOSED
    sys.exit(code)


async def execute(
    arguments: Sequence[str], stream: TextIO | None = None, errors: TextIO | None = None
) -> int:
    """Run one command and return its exit code; raise SystemExit for help and usage errors."""
    output = Output("--json" in arguments, stream, errors)
    try:
        parsed = parse(arguments)
        if parsed.action is None:
            return ExitCode.OK
        output = Output(parsed.as_json, stream, errors)
        result = await run_action(parsed.action, Session(output, parsed.platform))
    except CommandError as exc:
        output.print_error(exc)
        return exc.code
    output.print_result(result)
    return result.code


def parse(arguments: Sequence[str]) -> ParsedArguments:
    """Parse the arguments.

    Raises CommandError for invalid values and SystemExit for help and usage errors.
    """
    options: list[tuple[str, bool]] = []

    class Root(CommandLine):
        __doc__ = CommandLine.__doc__

        def __init__(self, *, platform: str = "", json: bool = False) -> None:
            super().__init__()
            options.append((str(platform), bool(json)))

    # fire lists the commands only in the help of an instance; the help of a class has its options.
    wants_help = not arguments or arguments[0] in ("-h", "--help", "help")
    root = Root() if wants_help else Root
    fire_arguments = ["--help"] if wants_help else list(arguments)
    component = fire.Fire(
        root, command=fire_arguments, name="cassiadrum", serialize=_printed_by_fire
    )
    return ParsedArguments(component if isinstance(component, Action) else None, *options[-1])


def _printed_by_fire(found: object) -> object:
    """Return what fire prints: nothing for a command, help for a group."""
    return None if isinstance(found, Action) else found


if __name__ == "__main__":
    main()
