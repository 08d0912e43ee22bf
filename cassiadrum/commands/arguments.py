"""Parsers for command-line values."""

import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, TypeVar

import msgspec
from fire import decorators

from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.schemas import describe
from cassiadrum.settings import Address
from cassiadrum.settings.schemas import HostPort

__all__ = [
    "argument_parsers",
    "parse_address",
    "parse_flag",
    "parse_seconds",
    "parse_text",
    "parse_time",
    "parse_whole_number",
]

# fire stores its metadata in an attribute of the command, and its help lists every attribute
# without a leading underscore as a command group.
decorators.FIRE_METADATA = "_fire_metadata"

Function = TypeVar("Function", bound=Callable[..., Any])


def argument_parsers(**parsers: Callable[[str], Any]) -> Callable[[Function], Function]:
    """Return a decorator that sets the parsers of named arguments; all others are parsed as text.

    By default, fire would parse an id such as `1_000` as a number.
    """

    def decorate(function: Function) -> Function:
        decorators.SetParseFn(str)(function)
        decorators.SetParseFns(**parsers)(function)
        return function

    return decorate


def parse_address(text: object, where: str) -> Address:
    """Parse an address HOST:PORT; raise CommandError if invalid, with `where` in its message."""
    try:
        return Address.parse(msgspec.convert(text, HostPort))
    except msgspec.ValidationError as exc:
        detail = f"{where}: found {text!r}; allowed: {describe(HostPort)}"
        raise CommandError(ExitCode.BAD_INPUT, detail) from exc


def parse_whole_number(text: str) -> int:
    """Parse a non-negative whole number; raise CommandError if invalid."""
    if not text.isdecimal():
        raise _invalid_value(text, "a whole number of at least 0")
    return int(text)


def parse_seconds(text: str) -> float:
    """Parse a non-negative number of seconds; raise CommandError if invalid."""
    try:
        seconds = float(text)
    except ValueError as exc:
        raise _invalid_value(text, "seconds") from exc
    if not 0 <= seconds < float("inf"):
        raise _invalid_value(text, "seconds of at least 0")
    return seconds


def parse_text(text: str) -> str:
    """Return a text; raise CommandError if the option has no value, which fire passes as True."""
    if text == "True":
        raise _invalid_value("nothing", "a value after the option")
    return text


def parse_flag(text: str) -> bool:
    """Return whether a flag is set; fire passes the text `True` or `False`."""
    return text == "True"


def parse_time(text: str) -> float | None:
    """Parse a number of seconds ago or an ISO 8601 time and return it as seconds since 1970.

    A time without a zone is in UTC. An empty text returns None. Raises CommandError if invalid.
    """
    if not text:
        return None
    try:
        return time.time() - float(text)
    except ValueError:
        pass
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as exc:
        raise _invalid_value(text, "seconds ago, or an ISO 8601 time") from exc
    return (moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp()


def _invalid_value(text: str, allowed: str) -> CommandError:
    return CommandError(ExitCode.BAD_INPUT, f"found {text!r}; allowed: {allowed}")
