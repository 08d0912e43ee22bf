"""Submission of a change to any entry instance, and the wait until it is in force."""

import asyncio
import secrets
import time
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from cassiadrum.commands.actions import Session
from cassiadrum.commands.admin_clients import AdminAnswer, AdminClient
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.fleets import get_from_all, list_instances
from cassiadrum.commands.results import Result
from cassiadrum.stores import Instance

__all__ = [
    "ServiceChange",
    "make_operation_id",
    "submit_and_wait",
    "submit_change",
    "wait_in_force",
]

# After an attempt with an unknown outcome, the change is submitted to the next entry instance, up
# to this many times in total.
MAX_UNKNOWN_OUTCOMES: Final = 4
RETRY_PAUSE_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.25
EXIT_CODES: Final = {
    200: ExitCode.OK,
    400: ExitCode.BAD_INPUT,
    404: ExitCode.REFUSED,
    409: ExitCode.REFUSED,
    422: ExitCode.BAD_INPUT,
    503: ExitCode.REFUSED,
    504: ExitCode.OUTCOME_UNKNOWN,
}


class ServiceChange(NamedTuple):
    """Replacement of version `base_version` of a service by a text, or its deletion."""

    service: str
    base_version: int
    operation_id: str
    author: str
    text: str = ""
    deleted: bool = False


def make_operation_id() -> str:
    """Return a new id that identifies a change over all its attempts."""
    return secrets.token_hex(16)


async def submit_change(session: Session, change: ServiceChange) -> int:
    """Submit a change and return the accepted version; raise CommandError if it fails.

    Every attempt has the same operation id, so a change whose answer was lost is not applied
    twice.
    """
    entries = await _list_entries(session)
    unknown_exc: CommandError | None = None
    attempts = 0
    for entry in entries * MAX_UNKNOWN_OUTCOMES:
        session.output.print_progress(
            f"operation {change.operation_id}: submitting to {entry.instance}"
        )
        try:
            return _accepted_version(await _send(entry, change), change)
        except CommandError as exc:
            if exc.code is ExitCode.OUTCOME_UNKNOWN:
                unknown_exc, attempts = exc, attempts + 1
            elif unknown_exc is not None and exc.data.get("result") == "not_accepted":
                # The attempt without an answer may still be applied after this refusal.
                attempts += 1
            elif exc.code is not ExitCode.UNREACHABLE:
                raise
        if attempts >= MAX_UNKNOWN_OUTCOMES:
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    raise _submission_error(change, unknown_exc)


async def wait_in_force(
    session: Session, service: str, version: int, limit_s: float
) -> dict[str, str]:
    """Wait until a version is in force everywhere.

    Returns the instances that do not have it in force after `limit_s`, with the reasons.
    """
    deadline_s = time.monotonic() + limit_s
    pending = {item.instance: item for item in await list_instances(session.platform())}
    while True:
        answers = await get_from_all(pending.values(), "/admin/status")
        lagging = {
            name: reason
            for name, answer in answers.items()
            if (reason := _lag_reason(answer, service, version))
        }
        pending = {name: pending[name] for name in lagging}
        if not pending or time.monotonic() >= deadline_s:
            return lagging
        session.output.print_progress(f"version {version}: waiting for {len(pending)} instances")
        await asyncio.sleep(POLL_INTERVAL_S)


async def submit_and_wait(session: Session, change: ServiceChange, limit_s: float) -> Result:
    """Submit a change, wait up to `limit_s` until it is in force and return the result."""
    started_s = time.monotonic()
    version = await submit_change(session, change)
    try:
        lagging = await wait_in_force(session, change.service, version, limit_s)
    except CommandError as exc:
        # The change is durable, so a later failure must not hide that it was accepted.
        lagging = {"(instance list)": str(exc)}
    waited_s = round(time.monotonic() - started_s, 3)
    data: dict[str, Any] = {
        "service": change.service,
        "version": version,
        "operation_id": change.operation_id,
        "seconds": waited_s,
        "lagging": lagging,
    }
    done = "deleted" if change.deleted else "accepted"
    lines = [f"{change.service}: version {version} {done}"]
    if not lagging:
        return Result(data, [*lines, f"in force everywhere after {waited_s:g} s"])
    lines += [f"not in force after {limit_s:g} s at:"]
    lines += [f"  {name}: {reason}" for name, reason in lagging.items()]
    return Result(data, lines, ExitCode.UNREACHABLE)


async def _list_entries(session: Session) -> list[Instance]:
    listed = await list_instances(session.platform())
    entries = [item for item in listed if item.role == "entry"]
    if not entries:
        raise CommandError(ExitCode.UNREACHABLE, "no entry instance in the instance list")
    # A leaving instance still accepts changes, but may stop before it answers.
    return sorted(entries, key=lambda item: item.state == "leaving")


async def _send(entry: Instance, change: ServiceChange) -> AdminAnswer:
    body: dict[str, Any] = {
        "base_version": change.base_version,
        "operation_id": change.operation_id,
        "author": change.author,
    }
    method = "DELETE" if change.deleted else "POST"
    if not change.deleted:
        body["text"] = change.text
    path = f"/admin/services/{quote(change.service, safe='')}"
    return await AdminClient(entry.admin_address).send_change(method, path, body)


def _submission_error(change: ServiceChange, unknown_exc: CommandError | None) -> CommandError:
    if unknown_exc is None:
        return CommandError(ExitCode.UNREACHABLE, "no entry instance answers; nothing was sent")
    detail = (
        f"the outcome is unknown: {unknown_exc}; to retry, run the command with "
        f"--operation {change.operation_id}"
    )
    data = {"operation_id": change.operation_id, "base_version": change.base_version}
    return CommandError(ExitCode.OUTCOME_UNKNOWN, detail, **data)


def _accepted_version(answer: AdminAnswer, change: ServiceChange) -> int:
    body = answer.body
    if answer.status == 200:
        return int(body["version"])
    code = EXIT_CODES.get(answer.status, ExitCode.REFUSED)
    raise CommandError(code, _refusal_text(body, change), **body)


def _refusal_text(body: dict[str, Any], change: ServiceChange) -> str:
    if body.get("result") == "conflict":
        current = body["current"]
        return (
            f"conflict: {change.service} is at version {current['version']} by "
            f"{current['author']}, not {change.base_version}; difference to this change:\n"
            f"{body['difference']}"
        )
    if body.get("result") == "invalid":
        parts = [f"{item['path']}: found {item['found']}" for item in body["findings"]]
        return "the document has errors: " + "; ".join(parts)
    return f"not accepted: {body.get('reason') or body.get('error')}"


def _lag_reason(answer: dict[str, Any] | None, service: str, version: int) -> str:
    if answer is None:
        return "does not answer"
    current = answer.get("versions", {}).get(service, 0)
    return "" if current >= version else f"has version {current}"
