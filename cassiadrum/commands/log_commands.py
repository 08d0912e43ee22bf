"""Reading of the log files of many processes."""

import json
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import takes
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.results import Result

__all__ = ["log"]

# Fields that stand in front of a line, or say nothing about the decision.
HEAD_FIELDS: Final = frozenset(
    {"time", "at_s", "level", "logger", "message", "instance", "request_id"}
)


class _LogLine(NamedTuple):
    at_s: float
    instance: str
    request_id: str
    message: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        at = datetime.fromtimestamp(self.at_s).strftime("%H:%M:%S.%f")[:-3]
        inputs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{at}  {self.instance:24} {self.request_id:18} {self.message}  {inputs}".rstrip()


@takes()
def log(*files: str, request: str = "", around: str = "") -> Action:
    """Merge log files of several processes by time.

    --request prints only the lines of one request. --around prints also the lines of its process
    that belong to no request, from so many seconds before it to its end: what the process
    believed.

    Example: cassiadrum log gateway-*.log --request 9c41d07be2a35f68 --around 5
    """
    return Action(lambda session: _run(session, files, request, around))


async def _run(session: Session, files: Iterable[str], request: str, around: str) -> Result:
    lines: list[_LogLine] = []
    unreadable = 0
    for name in files:
        found, bad = _read(Path(name))
        lines += found
        unreadable += bad
    if not lines:
        raise CommandError(ExitCode.BAD_INPUT, "no log lines in the files")
    lines.sort(key=lambda line: line.at_s)
    if request:
        lines = _of_request(lines, request, _seconds(around))
    text = [str(line) for line in lines]
    if unreadable:
        text.append(f"{unreadable} lines could not be read")
    return Result({"lines": [line._asdict() for line in lines], "unreadable": unreadable}, text)


def _of_request(lines: list[_LogLine], request: str, around_s: float) -> list[_LogLine]:
    own = [line for line in lines if line.request_id == request]
    if not own:
        raise CommandError(
            ExitCode.REFUSED, f"no line of request {request}; it may have been left out"
        )
    if not around_s:
        return own
    start_s, end_s = own[0].at_s - around_s, own[-1].at_s
    processes = {line.instance for line in own}
    return [
        line
        for line in lines
        if line.request_id == request
        or (not line.request_id and line.instance in processes and start_s <= line.at_s <= end_s)
    ]


def _read(path: Path) -> tuple[list[_LogLine], int]:
    try:
        text = path.read_text(errors="replace")
    except OSError as exc:
        raise CommandError(ExitCode.BAD_INPUT, f"{path}: {exc.strerror}") from exc
    lines, unreadable = [], 0
    for row in text.splitlines():
        try:
            lines.append(_parse(json.loads(row)))
        except (ValueError, KeyError, TypeError):
            unreadable += 1
    return lines, unreadable


def _parse(row: dict[str, Any]) -> _LogLine:
    at_s = row["at_s"] if "at_s" in row else datetime.fromisoformat(row["time"]).timestamp()
    fields = {name: value for name, value in row.items() if name not in HEAD_FIELDS}
    return _LogLine(
        float(at_s), row["instance"], row.get("request_id", ""), row["message"], fields
    )


def _seconds(text: str) -> float:
    try:
        return float(text or "0")
    except ValueError as exc:
        raise CommandError(
            ExitCode.BAD_INPUT, f"--around: found {text!r}; allowed: seconds"
        ) from exc
