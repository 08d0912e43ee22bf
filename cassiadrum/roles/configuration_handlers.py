"""Changes of service documents through the admin interface."""

from typing import Annotated, Any, NamedTuple
from urllib.parse import unquote

import msgspec

from cassiadrum.events import EventKind, EventRing
from cassiadrum.protocols import Exchange, HttpRequest
from cassiadrum.roles.configuration_agents import ConfigurationAgent
from cassiadrum.states import (
    Accepted,
    AcceptResult,
    ConfigurationRecord,
    ConfigurationWriter,
    Conflicted,
    Invalid,
    NotAccepted,
)

__all__ = ["ConfigurationHandler"]

SERVICES_PREFIX = "/admin/services/"


class _Submission(msgspec.Struct, forbid_unknown_fields=True):
    """The request body of a change; a deletion ignores `text`."""

    base_version: Annotated[int, msgspec.Meta(ge=0)]
    operation_id: Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
    author: Annotated[str, msgspec.Meta(max_length=128)]
    text: str = ""


class _Response(NamedTuple):
    status: int
    body: dict[str, Any]


class ConfigurationHandler:
    """Handler that accepts (POST) or deletes (DELETE) a document and applies the change at once.

    Requests are idempotent by their operation id.
    """

    def __init__(
        self, writer: ConfigurationWriter, agent: ConfigurationAgent, ring: EventRing
    ) -> None:
        self._writer = writer
        self._agent = agent
        self._ring = ring

    async def __call__(self, exchange: Exchange) -> None:
        """Handle one HTTP exchange."""
        req = exchange.req
        if req.method not in ("POST", "DELETE"):
            await exchange.send_json(
                405, {"result": "bad_request", "reason": "only POST and DELETE are allowed"}
            )
            return
        try:
            submission = msgspec.json.decode(req.body, type=_Submission)
        except msgspec.MsgspecError as exc:
            await exchange.send_json(400, {"result": "bad_request", "reason": str(exc)})
            return
        answer = await self._change(req, submission)
        await exchange.send_json(answer.status, answer.body)

    async def _change(self, req: HttpRequest, sub: _Submission) -> _Response:
        service = unquote(req.path.removeprefix(SERVICES_PREFIX))
        common = (sub.base_version, sub.operation_id, sub.author)
        if req.method == "DELETE":
            result = await self._writer.delete(service, *common)
        else:
            result = await self._writer.accept(service, sub.text, *common)
        if isinstance(result, Accepted):
            return self._accepted_response(result, sub, req.method == "DELETE")
        return _failure_response(result)

    def _accepted_response(self, result: Accepted, sub: _Submission, deleted: bool) -> _Response:
        current = result.current
        same = (current.text, current.deleted) == ("" if deleted else sub.text, deleted)
        if current.version == result.version and not same:
            reason = f"operation {sub.operation_id} was used for another text"
            return _Response(409, {"result": "operation_reused", "reason": reason})
        self._ring.record(
            EventKind.CONFIGURATION_ACCEPTED,
            service=current.service,
            version=result.version,
            operation_id=sub.operation_id,
            author=sub.author,
        )
        self._agent.apply(current)
        body = {"result": "accepted", "version": result.version}
        return _Response(200, {**body, "current_version": current.version})


def _failure_response(result: AcceptResult) -> _Response:
    if isinstance(result, Conflicted):
        body = {"result": "conflict", "current": _record_fields(result.current)}
        return _Response(409, {**body, "difference": result.difference})
    if isinstance(result, Invalid):
        findings = [finding._asdict() for finding in result.findings]
        return _Response(422, {"result": "invalid", "findings": findings})
    if isinstance(result, NotAccepted):
        body = {"result": "not_accepted", "reason": result.reason}
        return _Response(503, {**body, "retry_after_s": result.retry_after_s})
    return _Response(504, {"result": "unresolved", **result._asdict()})


def _record_fields(record: ConfigurationRecord) -> dict[str, Any]:
    names = ("service", "version", "deleted", "operation_id", "author", "accepted_at")
    return {name: getattr(record, name) for name in names}
