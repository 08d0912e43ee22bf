"""Command that shows the merged events of all processes."""

import asyncio
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers, parse_flag, parse_seconds, parse_time
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.event_collectors import EventCollector
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.results import Result
from cassiadrum.events import (
    Event,
    EventFilter,
    EventKind,
    Gap,
    Timeline,
    TimelineSvgWriter,
    TraceWriter,
    encode_event,
    merge_events,
    to_json_line,
)

__all__ = ["event_to_dict", "format_event", "timeline"]

FOLLOW_INTERVAL_S: Final = 0.5

WRITERS: Final[dict[str, Callable[[Timeline], str]]] = {
    ".html": lambda timeline: TimelineSvgWriter().write_html(timeline),
    ".svg": lambda timeline: TimelineSvgWriter().write(timeline),
    ".json": lambda timeline: TraceWriter().write(timeline),
    ".jsonl": lambda timeline: "".join(to_json_line(event) + "\n" for event in timeline.events),
}


@argument_parsers(seconds=parse_seconds, follow=parse_flag)
def timeline(
    *,
    request: str = "",
    service: str = "",
    class_name: str = "",
    instance: str = "",
    kind: str = "",
    since: str = "",
    until: str = "",
    out: str = "",
    follow: bool = False,
    seconds: float = 0.0,
) -> Action:
    """Merge the events of all processes in causal order.

    --kind is a comma-separated list of event kinds. --since and --until are seconds ago or an
    ISO 8601 time. --out writes a .html, .svg, .json (for trace viewers) or .jsonl file. --follow
    prints new events until it is interrupted or for --seconds; with --json, each event is one
    JSON object.

    Examples: cassiadrum timeline --service sprachdienst --since 60 --out load.html;
    cassiadrum timeline --follow --kind refused,evicted
    """

    async def run(session: Session) -> Result:
        selection = EventFilter(
            request,
            service,
            class_name,
            instance,
            _parse_kinds(kind),
            parse_time(since),
            parse_time(until),
        )
        if out and (follow or Path(out).suffix not in WRITERS):
            detail = f"--out: found {out!r}; allowed without --follow: a file {', '.join(WRITERS)}"
            raise CommandError(ExitCode.BAD_INPUT, detail)
        collector = EventCollector(session.platform())
        if follow:
            return await _follow(session, collector, selection, seconds)
        merged = await collector.timeline()
        return _timeline_result(selection.select(merged), collector.silent, out)

    return Action(run)


def event_to_dict(event: Event) -> dict[str, Any]:
    """Return an event as a dictionary for JSON output."""
    return dict(zip(Event._fields, encode_event(event), strict=True))


def format_event(event: Event) -> str:
    """Return an event as a line of text."""
    moment = datetime.fromtimestamp(event.hlc.seconds, UTC)
    parts = [event.request_id, event.service, event.class_name]
    parts += [f"{key}={value}" for key, value in event.fields.items()]
    rest = " ".join(part for part in parts if part)
    return f"{moment:%H:%M:%S.%f} {event.instance:<18} {event.kind.value:<22} {rest}".rstrip()


def _parse_kinds(text: str) -> frozenset[EventKind]:
    names = [name for name in text.split(",") if name]
    unknown = [name for name in names if name not in set(EventKind)]
    if unknown:
        allowed = ", ".join(EventKind)
        detail = f"--kind: found {', '.join(unknown)}; allowed: {allowed}"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    return frozenset(EventKind(name) for name in names)


def _timeline_result(selected: Timeline, silent: list[str], out: str) -> Result:
    code = ExitCode.UNREACHABLE if silent else ExitCode.OK
    notes = [f"gap: {_format_gap(gap)}" for gap in selected.gaps]
    notes += [f"no answer: {name}; its events are missing" for name in silent]
    data: dict[str, Any] = {"count": len(selected.events), "silent": silent, "notes": notes}
    if out:
        try:
            Path(out).write_text(WRITERS[Path(out).suffix](selected))
        except OSError as exc:
            raise CommandError(ExitCode.BAD_INPUT, f"--out: {exc}") from exc
        written = f"{out}: {len(selected.events)} events"
        return Result({**data, "out": out}, [written, *notes], code)
    events = [event_to_dict(event) for event in selected.events]
    lines = [format_event(event) for event in selected.events]
    return Result({**data, "events": events}, [*lines, *notes], code)


def _format_gap(gap: Gap) -> str:
    missing = f", {gap.missing} events" if gap.missing else ""
    return f"{gap.kind.value} at {gap.instance}{missing}"


async def _follow(
    session: Session, collector: EventCollector, selection: EventFilter, seconds: float
) -> Result:
    """Print new events as they are recorded.

    The events of one round are ordered. The times of successive rounds can overlap by the time
    that reading the processes takes.
    """
    output = session.output
    deadline_s = time.monotonic() + seconds
    count = 0
    while True:
        events = selection.apply(
            merge_events(await collector.collect(), collector.answered_start_ids).events
        )
        count += len(events)
        for event in events:
            if output.as_json:
                output.print_json(event_to_dict(event))
            else:
                output.print_text(format_event(event) + "\n")
        if seconds and time.monotonic() >= deadline_s:
            code = ExitCode.UNREACHABLE if collector.silent else ExitCode.OK
            return Result({"count": count, "silent": collector.silent}, [], code)
        await asyncio.sleep(FOLLOW_INTERVAL_S)
