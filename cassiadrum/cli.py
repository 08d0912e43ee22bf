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

# The shell's code for a program that SIGINT ended.
EXIT_INTERRUPTED: Final = 130
# The shell's code for a program that SIGPIPE ended, as after `| head`.
EXIT_PIPE_CLOSED: Final = 141


class CommandLine:
    """Operate cassiadrum: services, settings, processes, the time line and single requests.

    --platform names the platform as TABLE_SERVICE,INSTANCE_LIST (two HOST:PORT) or as a TOML file
    with a table [platform]; without it the environment variable CASSIADRUM_PLATFORM is used.
    --json prints one JSON object, which has the exit code in `exit_code`. Both may stand anywhere.

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
    """Hold what the arguments ask for; `action` is None after help was shown."""

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
        # The interpreter would report the closed pipe once more when it flushes at exit.
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
    """Return the command in the arguments.

    Raises CommandError for wrong values and SystemExit for help and usage errors.
    """
    options: list[tuple[str, bool]] = []

    class Root(CommandLine):
        __doc__ = CommandLine.__doc__

        def __init__(self, *, platform: str = "", json: bool = False) -> None:
            super().__init__()
            options.append((str(platform), bool(json)))

    # The help of an instance lists the commands, the help of a class only its options.
    wants_help = not arguments or arguments[0] in ("-h", "--help", "help")
    root = Root() if wants_help else Root
    given = ["--help"] if wants_help else list(arguments)
    found = fire.Fire(root, command=given, name="cassiadrum", serialize=_printed_by_fire)
    return ParsedArguments(found if isinstance(found, Action) else None, *options[-1])


def _printed_by_fire(found: object) -> object:
    """Return what fire prints: nothing for a command, the help for a group."""
    return None if isinstance(found, Action) else found


if __name__ == "__main__":
    main()
