"""Command that sends one request and prints the answer as it arrives."""

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import quote

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers, parse_address, parse_seconds
from cassiadrum.commands.credentials import Credentials
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.fleets import get_from_all, list_instances
from cassiadrum.commands.outputs import Output
from cassiadrum.commands.results import Result
from cassiadrum.protocols import ConnectFailed, HttpClient, HttpError, HttpResponse
from cassiadrum.settings import Address

__all__ = ["request"]

# Characters of a target that are not percent-encoded.
SAFE_CHARACTERS: Final = "/?&=%+,:;@!$'()*~"
ERROR_EVENT_PREFIX: Final = b"event: error\ndata: "
BAD_INPUT_REASONS: Final = frozenset(
    {"unknown_service", "unknown_class", "unknown_request", "bad_request", "too_large"}
    | {"key_required", "key_reused"}
)


class PreparedRequest(NamedTuple):
    """Request to send; `limit_s` bounds the time until the end of the answer."""

    address: Address
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    limit_s: float


@argument_parsers(limit_s=parse_seconds)
def request(
    target: str,
    *,
    body: str = "",
    method: str = "",
    entry: str = "",
    class_name: str = "",
    customer: str = "",
    key: str = "",
    limit_s: float = 300.0,
) -> Action:
    """Send a request to a service and print its answer as it arrives.

    TARGET is the service and the path. --body is text, or @FILE; with a body the default method
    is POST. --entry is HOST:PORT; by default, a live entry instance of the instance list is used.

    Examples: cassiadrum request permit-register/permits/7;
    cassiadrum request sprachdienst/v1/completions --body '{"prompt": "yoke", "stream": true}'
    """

    async def run(session: Session) -> Result:
        headers = {"x-request-class": class_name, "x-customer": customer, "idempotency-key": key}
        call = PreparedRequest(
            await _find_address(session, entry),
            method or ("POST" if body else "GET"),
            "/services/"
            + quote(target.removeprefix("/services/").lstrip("/"), safe=SAFE_CHARACTERS),
            tuple(_validate_headers(headers)),
            _read_body(body),
            limit_s,
        )
        return await _send(session.output, call)

    return Action(run)


def _validate_headers(headers: dict[str, str]) -> Iterator[tuple[str, str]]:
    for name, value in headers.items():
        if not value.isascii() or not value.isprintable():
            detail = f"{name}: found {value!r}; allowed: printable ASCII characters"
            raise CommandError(ExitCode.BAD_INPUT, detail)
        if value:
            yield name, value


def _read_body(text: str) -> bytes:
    if not text.startswith("@"):
        return text.encode()
    try:
        return Path(text[1:]).read_bytes()
    except OSError as exc:
        raise CommandError(ExitCode.BAD_INPUT, f"--body: {exc}") from exc


async def _find_address(session: Session, entry: str) -> Address:
    if entry:
        return parse_address(entry, "--entry")
    listed = await list_instances(session.platform())
    live = [item for item in listed if item.role == "entry" and item.state == "live"]
    for answer in (await get_from_all(live, "/admin/status")).values():
        if answer and not answer["draining"]:
            return Address.parse(answer["http_address"])
    raise CommandError(ExitCode.UNREACHABLE, "no live entry instance answers; nothing was sent")


async def _send(output: Output, call: PreparedRequest) -> Result:
    client = HttpClient(
        call.address.host, call.address.port, tls=Credentials.from_environment().tls
    )
    try:
        async with asyncio.timeout(call.limit_s):
            response = await client.request(call.method, call.target, call.headers, call.body)
            body = await _print_body(output, response)
    except ConnectFailed as exc:
        raise CommandError(ExitCode.UNREACHABLE, f"{exc}; nothing was sent") from exc
    except (HttpError, TimeoutError) as exc:
        reason = str(exc) or f"no complete answer within {call.limit_s:g} s"
        raise CommandError(ExitCode.OUTCOME_UNKNOWN, f"the answer was lost: {reason}") from exc
    finally:
        client.close()
    return _result(response, body)


async def _print_body(output: Output, response: HttpResponse) -> bytes:
    parts = []
    async for part in response.body:
        parts.append(part)
        if not output.as_json and response.status < 400:
            output.print_text(part.decode(errors="replace"))
    return b"".join(parts)


def _result(response: HttpResponse, body: bytes) -> Result:
    request_id = response.header("x-request-id")
    data: dict[str, Any] = {
        "status": response.status,
        "request_id": request_id,
        "body": body.decode(errors="replace"),
    }
    problem = _parse_problem(response, body)
    if problem is None and response.status < 400:
        return Result(data, ["", f"status {response.status}, request {request_id}"])
    if problem is None:
        detail = f"the endpoint answered with status {response.status}: {data['body']}"
        raise CommandError(ExitCode.REFUSED, detail, **data)
    detail = f"{problem['reason']} (ran: {problem['ran']}): {problem['detail']}"
    if "retry_after_s" in problem:
        detail += f"; retry after {problem['retry_after_s']:g} s"
    request_id = problem.get("request_id") or request_id
    detail += f"; request {request_id}" if request_id else ""
    raise CommandError(_exit_code(problem), detail, **data, problem=problem)


def _parse_problem(response: HttpResponse, body: bytes) -> dict[str, Any] | None:
    """Return the refusal, which is the last event if the stream had already started."""
    text = body
    if response.header("content-type").startswith("application/problem+json"):
        pass
    elif ERROR_EVENT_PREFIX in body:
        text = body.rpartition(ERROR_EVENT_PREFIX)[2]
    else:
        return None
    problem: dict[str, Any] = json.loads(text)
    return problem


def _exit_code(problem: dict[str, Any]) -> ExitCode:
    if problem["ran"] != "no":
        return ExitCode.OUTCOME_UNKNOWN
    if problem["reason"] in BAD_INPUT_REASONS:
        return ExitCode.BAD_INPUT
    return ExitCode.REFUSED
