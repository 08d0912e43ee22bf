"""Explanation of a request from log files, without access to the processes that wrote them."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from cassiadrum.commands.log_files import LogLine, MergedLogs, merge_logs
from cassiadrum.commands.results import Result

__all__ = ["explain_from_logs"]

# State changes up to this long before a request may have influenced its decisions. It is longer
# than the age up to which a configuration counts as confirmed.
CONTEXT_S: Final = 10.0

MESSAGE_TEXTS: Final[dict[str, str]] = {
    "received": "received on route {route} ({kind}) from customer {customer!r}: urgency {urgency},"
    " target {target_ms} ms, limit {limit_ms} ms",
    "placed": "sent to {endpoint}, which had {at_endpoint} requests ({own} of this process) by"
    " a load report {load_age_ms} ms old, and {prefill_tokens} prompt tokens to prefill",
    "first bytes": "{endpoint} began to answer with status {status}",
    "attempt failed": "attempt failed: {reason}; repeated: {repeated}",
    "stream ended": "complete stream relayed, longest pause {longest_pause_ms} ms",
    "caller left": "the caller closed its connection",
    "refused": "no endpoint had room in time: {outstanding} requests at {endpoints} endpoints with"
    " {slots} slots, {waiting_at_endpoints} of them without first bytes, {waiting_here} waiting"
    " here",
    "ended": "ended: {outcome}; sent {sends} times; configuration {version}, confirmed"
    " {version_age_ms} ms before",
    "configuration in force": "configuration {version} came into force",
    "endpoint in": "{endpoint} of {service} registered in {zone} with {slots} slots",
    "endpoint out": "{endpoint} of {service} was removed: {reason}",
    "endpoint draining": "{endpoint} of {service} takes no new requests",
    "endpoint says that it is full": "{endpoint} reported that it is full; it gets no requests"
    " for {pause_ms} ms",
    "endpoint avoided": "{endpoint} avoided for {pause_ms} ms: {reason}",
}

# Added to a refusal if the request waited for the one endpoint that holds its shared prompt
# prefix in the cache.
PREFIX_ENDPOINT_TEXT: Final = (
    "; it waited for {endpoint}, which had {at_endpoint} requests, {without_first_bytes} of them"
    " without first bytes at {turn_ms} ms each"
)


class _Step(NamedTuple):
    """Step of a request, or, as a `belief`, a state change that its process had learned of."""

    at_ms: float
    instance: str
    belief: bool
    text: str

    def __str__(self) -> str:
        text = f"({self.text})" if self.belief else self.text
        return f"{self.at_ms:>10.1f} ms  {self.instance:<18} {text}"


def explain_from_logs(request_id: str, files: Iterable[str]) -> Result:
    """Return the steps of a request and the state changes its processes had learned of.

    Raises CommandError if the files have no line of the request.
    """
    logs = merge_logs(files)
    request_lines = logs.of_request(request_id)
    context_lines = [
        line
        for line in logs.process_lines(request_lines, CONTEXT_S)
        if _is_relevant(line, request_lines)
    ]
    first_s = request_lines[0].at_s
    steps = [
        _Step(
            round((line.at_s - first_s) * 1000, 1),
            line.instance,
            not line.request_id,
            _line_text(line),
        )
        for line in sorted(context_lines + request_lines, key=lambda line: line.at_s)
    ]
    summary = _summary_lines(request_lines)
    notes = _missing_part_notes(logs, request_lines)
    lines = [f"{request_id} ({request_lines[0].fields.get('service') or 'no service'})"]
    lines += [str(step) for step in steps]
    data = {
        "request_id": request_id,
        "steps": [step._asdict() for step in steps],
        "summary": summary,
        "notes": notes,
    }
    return Result(data, [*lines, *summary, *notes])


def _is_relevant(line: LogLine, request_lines: list[LogLine]) -> bool:
    """Return whether a line is about an endpoint of the request, or about no endpoint at all."""
    endpoint = line.fields.get("endpoint")
    return endpoint is None or endpoint in {item.fields.get("endpoint") for item in request_lines}


def _line_text(line: LogLine) -> str:
    template = MESSAGE_TEXTS.get(line.message)
    if template is None:
        return line.message
    if line.message == "refused" and "endpoint" in line.fields:
        template += PREFIX_ENDPOINT_TEXT
    try:
        return template.format_map(line.fields)
    except KeyError:
        inputs = " ".join(f"{name}={value}" for name, value in line.fields.items())
        return f"{line.message} {inputs}".rstrip()


def _summary_lines(request_lines: list[LogLine]) -> list[str]:
    """Return the durations of the phases and the outcome of the request."""
    at_s: dict[str, float] = {}
    for line in request_lines:
        at_s.setdefault(line.message, line.at_s)
    lines = []
    for label, start, end in (
        ("waited at the gateway", "received", "placed"),
        ("from there to the first bytes", "placed", "first bytes"),
        ("from the first bytes to the end", "first bytes", "ended"),
    ):
        if start in at_s and end in at_s:
            lines.append(f"{label}: {(at_s[end] - at_s[start]) * 1000:.1f} ms")
    ended: dict[str, Any] = (
        request_lines[-1].fields if request_lines[-1].message == "ended" else {}
    )
    lines.append(
        f"outcome: {ended.get('outcome', 'unknown, as the files have no line of its end')}"
    )
    return lines


def _missing_part_notes(logs: MergedLogs, request_lines: list[LogLine]) -> list[str]:
    """Return notes on lines that may be missing from the explanation."""
    processes = {line.instance for line in request_lines}
    gaps = logs.gaps_between(request_lines[0].at_s - CONTEXT_S, request_lines[-1].at_s + CONTEXT_S)
    notes = [str(gap) for gap in gaps if gap.instance in processes]
    if logs.unreadable:
        notes.append(f"{logs.unreadable} rows could not be read")
    return notes
