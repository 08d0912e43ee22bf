"""Parsers of values on the command line."""

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

# The help lists every attribute of a command whose name has no leading underscore as a group.
decorators.FIRE_METADATA = "_fire_metadata"

Function = TypeVar("Function", bound=Callable[..., Any])


def argument_parsers(**parsers: Callable[[str], Any]) -> Callable[[Function], Function]:
    """Return a decorator that states the parser of each argument; the others are text.

    Without it fire would read an id such as `1_000` as a number.
    """

    def decorate(function: Function) -> Function:
        decorators.SetParseFn(str)(function)
        decorators.SetParseFns(**parsers)(function)
        return function

    return decorate


def parse_address(text: object, where: str) -> Address:
    """Return the address HOST:PORT in a text; raise CommandError."""
    try:
        return Address.parse(msgspec.convert(text, HostPort))
    except msgspec.ValidationError as exc:
        detail = f"{where}: found {text!r}; allowed: {describe(HostPort)}"
        raise CommandError(ExitCode.BAD_INPUT, detail) from exc


def parse_whole_number(text: str) -> int:
    """Return a whole number of at least 0; raise CommandError."""
    if not text.isdecimal():
        raise _invalid_value(text, "a whole number of at least 0")
    return int(text)


def parse_seconds(text: str) -> float:
    """Return a number of seconds of at least 0; raise CommandError."""
    try:
        seconds = float(text)
    except ValueError as exc:
        raise _invalid_value(text, "seconds") from exc
    if not 0 <= seconds < float("inf"):
        raise _invalid_value(text, "seconds of at least 0")
    return seconds


def parse_text(text: str) -> str:
    """Return a text; raise CommandError when the option has no value, which fire reads as True."""
    if text == "True":
        raise _invalid_value("nothing", "a value after the option")
    return text


def parse_flag(text: str) -> bool:
    """Return whether a flag is set; fire gives `True` or `False` as text."""
    return text == "True"


def parse_time(text: str) -> float | None:
    """Return seconds since 1970 for a number of seconds ago or an ISO 8601 time.

    A time without a zone is in UTC; an empty text gives None. Raises CommandError.
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
