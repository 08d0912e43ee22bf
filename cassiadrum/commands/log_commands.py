"""Command that merges the log files of several processes."""

from collections.abc import Iterable

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers, parse_seconds, parse_text
from cassiadrum.commands.log_files import merge_logs
from cassiadrum.commands.results import Result

__all__ = ["log"]


@argument_parsers(request=parse_text, around=parse_seconds)
def log(*files: str, request: str = "", around: float = 0.0) -> Action:
    """Merge log files of several processes by time.

    --request prints only the lines of one request. --around also prints the lines of the same
    processes that belong to no request, from this many seconds before the request to its end;
    they show the state on which the request was decided. Lines that a process dropped are shown
    as gaps.

    Example: cassiadrum log gateway-*.log --request 9c41d07be2a35f68 --around 5
    """
    return Action(lambda session: _run(session, files, request, around))


async def _run(session: Session, files: Iterable[str], request: str, around_s: float) -> Result:
    logs = merge_logs(files)
    lines = logs.lines
    if request:
        lines = logs.of_request(request)
        if around_s:
            lines = sorted(lines + logs.process_lines(lines, around_s), key=lambda line: line.at_s)
    gaps = logs.gaps_between(float("-inf"), float("inf"))
    text = [str(line) for line in lines]
    text += [str(gap) for gap in gaps]
    if logs.unreadable:
        text.append(f"{logs.unreadable} lines could not be read")
    data = {
        "lines": [line._asdict() for line in lines],
        "gaps": [gap._asdict() for gap in gaps],
        "unreadable": logs.unreadable,
    }
    return Result(data, text)
