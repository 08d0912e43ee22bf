"""Parsing and merging of the log files of several processes."""

import json
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode

__all__ = ["LogGap", "LogLine", "MergedLogs", "merge_logs"]

# Fields that are printed at the start of a line or do not explain a decision.
PREFIX_FIELDS: Final = frozenset(
    {"time", "at_s", "level", "logger", "message", "instance", "request_id"}
)


class LogLine(NamedTuple):
    """Line of a log file; `at_s` is in seconds since 1970 by the clock of its process."""

    at_s: float
    instance: str
    request_id: str
    message: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        at = datetime.fromtimestamp(self.at_s).strftime("%H:%M:%S.%f")[:-3]
        inputs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{at}  {self.instance:24} {self.request_id:18} {self.message}  {inputs}".rstrip()


class LogGap(NamedTuple):
    """Number of lines that a process dropped before a time in seconds since 1970."""

    before_s: float
    instance: str
    left_out: int

    def __str__(self) -> str:
        at = datetime.fromtimestamp(self.before_s).strftime("%H:%M:%S.%f")[:-3]
        return f"gap: {self.instance} dropped {self.left_out} lines before {at}"


class MergedLogs(NamedTuple):
    """Lines ordered by time, gaps, and the number of unreadable rows."""

    lines: list[LogLine]
    gaps: list[LogGap]
    unreadable: int

    def of_request(self, request_id: str) -> list[LogLine]:
        """Return the lines of one request; raise CommandError if there is none."""
        request_lines = [line for line in self.lines if line.request_id == request_id]
        if request_lines:
            return request_lines
        reasons = [f"no line of request {request_id}"]
        reasons += [str(gap) for gap in self.gaps_between(float("-inf"), float("inf"))]
        if self.unreadable:
            reasons.append(f"{self.unreadable} rows could not be read")
        raise CommandError(ExitCode.REFUSED, "; ".join(reasons))

    def gaps_between(self, start_s: float, end_s: float) -> list[LogGap]:
        """Return one gap for each process that dropped lines in a period."""
        found: dict[str, LogGap] = {}
        for gap in self.gaps:
            if start_s <= gap.before_s <= end_s:
                previous = found.get(gap.instance, gap._replace(left_out=0))
                found[gap.instance] = gap._replace(left_out=previous.left_out + gap.left_out)
        return list(found.values())

    def process_lines(self, request_lines: list[LogLine], before_s: float) -> list[LogLine]:
        """Return the lines without a request id that the processes of a request wrote.

        `own` holds the lines of the request. The period begins `before_s` seconds before the first
        of them and ends with the last.
        """
        start_s, end_s = request_lines[0].at_s - before_s, request_lines[-1].at_s
        processes = {line.instance for line in request_lines}
        return [
            line
            for line in self.lines
            if not line.request_id and line.instance in processes and start_s <= line.at_s <= end_s
        ]


def merge_logs(files: Iterable[str]) -> MergedLogs:
    """Merge the lines of the files by time; raise CommandError if there is no line.

    The lines of one request in one process keep the order in which it wrote them, even if its
    clock was set back in between.
    """
    lines: list[LogLine] = []
    gaps: list[LogGap] = []
    unreadable = 0
    for name in files:
        first_lines: dict[str, LogLine] = {}
        for row in _read_rows(Path(name)):
            try:
                line = _parse_row(json.loads(row))
            except (ValueError, KeyError, TypeError, AttributeError):
                unreadable += 1
                continue
            line = _with_monotonic_time(line, first_lines)
            lines.append(line)
            if left_out := line.fields.get("left_out"):
                gaps.append(LogGap(line.at_s, line.instance, left_out))
    if not lines:
        raise CommandError(ExitCode.BAD_INPUT, "no log lines in the files")
    lines.sort(key=lambda line: line.at_s)
    gaps.sort()
    return MergedLogs(lines, gaps, unreadable)


def _read_rows(path: Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as exc:
        raise CommandError(ExitCode.BAD_INPUT, f"{path}: {exc.strerror}") from exc


def _parse_row(row: dict[str, Any]) -> LogLine:
    at_s = row["at_s"] if "at_s" in row else datetime.fromisoformat(row["time"]).timestamp()
    fields = {name: value for name, value in row.items() if name not in PREFIX_FIELDS}
    return LogLine(float(at_s), row["instance"], row.get("request_id", ""), row["message"], fields)


def _with_monotonic_time(line: LogLine, first_lines: dict[str, LogLine]) -> LogLine:
    """Return the line with a time computed from the monotonic distance to the first line.

    `first_lines` maps request ids to the first line of each request.
    """
    after_ms = line.fields.get("after_ms")
    if not line.request_id or after_ms is None:
        return line
    first = first_lines.setdefault(line.request_id, line)
    elapsed_s = (after_ms - first.fields["after_ms"]) / 1000
    if elapsed_s < 0:
        # The request id was used a second time.
        first_lines[line.request_id] = line
        return line
    return line._replace(at_s=first.at_s + elapsed_s)
