"""Translation of calls and answers to and from the platform's headers."""

import math
import re
from typing import Annotated

import msgspec

from cassiadrum.gateways import (
    AnswerHead,
    Call,
    CallProtocol,
    EndpointEntry,
    LimitNotice,
    LoadSample,
    PromptPart,
)
from cassiadrum.platform.errors import DECODE_ERRORS
from cassiadrum.platform.headers import CONNECTION_HEADERS, GATEWAY_HEADERS, Header
from cassiadrum.protocols import BadMessage, Headers, HttpRequest

__all__ = ["PlatformProtocol"]

LOWEST_PRIORITY = 9
MIN_TIMEOUT_MS = 1
SERVICE_UNAVAILABLE = 503
LEAVING = "1"
# Requests, slots or tokens.
COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
MAX_LOAD = 10**9
# At most 18 digits: int() raises ValueError for very long digit strings.
TOKEN_COUNT = re.compile(r"[0-9]{1,18}")
# All parts are looked at for each endpoint whenever the queue is processed, so that a request with
# thousands of them would delay all others.
MAX_PROMPT_PARTS = 64
# float() also accepts signs, underscores and words such as "nan".
REQUEST_LIMIT = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


LoadCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_LOAD)]


class _ReportWire(msgspec.Struct):
    running: LoadCount
    waiting: LoadCount


class _StartWire(msgspec.Struct):
    # Start of the endpoint in milliseconds since 1970.
    born: int


class PlatformProtocol(CallProtocol):
    """The platform's headers as the gateway's types."""

    def decode_call(self, req: HttpRequest) -> Call:
        """Return the call in a request; raise BadMessage if it has no request id."""
        request_id = req.header(Header.REQUEST_ID)
        if not request_id:
            raise BadMessage(400, "the request has no request id")
        prompt_tokens, max_output_tokens = _parse_counts(req.header(Header.TOKENS), 2) or (0, 0)
        keys = {value for name, value in req.headers if name == Header.API_KEY}
        return Call(
            request_id=request_id,
            method=req.method,
            target=req.target,
            host=_host(req.header("host")),
            headers=_forwarded_headers(req.headers),
            body=req.body,
            key=_only_key(keys),
            timeout_s=_parse_timeout_s(req.header(Header.TIMEOUT)),
            prompt=_parse_prompt_parts(req.header(Header.PROMPT_PARTS)),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            last_event_id=req.header(Header.LAST_EVENT_ID),
            shared_parts=_shared_part_ids(req.headers),
            resumes=_only_value(req.headers, Header.RESUMES),
        )

    def encode_call(
        self,
        call: Call,
        entry: EndpointEntry,
        *,
        customer: str,
        priority: int,
        timeout_s: float,
        last_event_id: str,
    ) -> Headers:
        """Return the headers of a call to an endpoint, except those that frame the body."""
        lines = [
            (Header.TARGET_INSTANCE, entry.instance),
            (Header.TIMEOUT, str(max(MIN_TIMEOUT_MS, int(timeout_s * 1000)))),
            (Header.PRIORITY, str(min(LOWEST_PRIORITY, max(0, priority)))),
        ]
        if customer:
            # Header values are bytes that the client writes as Latin-1; names are sent as UTF-8.
            lines.append((Header.CUSTOMER, customer.encode().decode("latin-1")))
        if last_event_id:
            lines.append((Header.LAST_EVENT_ID, last_event_id))
        return (*call.headers, *lines)

    @property
    def load_path(self) -> str:
        """Return the path at which a model engine reports its load."""
        return "/-/report"

    def decode_load(self, body: bytes, slots: int) -> LoadSample:
        """Return the load in a report; raise BadMessage if it cannot be decoded."""
        try:
            report = msgspec.json.decode(body, type=_ReportWire)
        except DECODE_ERRORS as exc:
            raise BadMessage(502, f"invalid load report: {exc}") from exc
        return LoadSample(report.running, report.waiting, slots)

    def decode_started_ms(self, body: bytes) -> int | None:
        """Return when the endpoint of a load report started, None if it does not state it."""
        try:
            return msgspec.json.decode(body, type=_StartWire).born
        except DECODE_ERRORS:
            return None

    def decode_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the status and the decoded headers of an endpoint's answer."""
        values = dict(headers)
        ids = {value for name, value in headers if name == Header.REQUEST_ID}
        load = _parse_counts(values.get(Header.LOAD, ""), 3)
        return AnswerHead(
            status=status,
            headers=tuple(line for line in headers if line[0] not in CONNECTION_HEADERS),
            # An answer with several ids names no request.
            request_id=ids.pop() if len(ids) == 1 else "",
            media_type=_media_type(values.get("content-type")),
            signed=Header.SIGNATURE in values,
            not_run=Header.NOT_RUN in values or status == 421,
            encoded=values.get("content-encoding", "identity") != "identity",
            load=LoadSample(*load) if load else None,
            idle_s=_parse_keep_alive_s(values.get("keep-alive", "")),
            leaving=values.get(Header.LEAVING, "") == LEAVING,
            pause_s=_retry_after_s(values.get(Header.RETRY_AFTER, ""))
            if status == SERVICE_UNAVAILABLE
            else None,
            limit=_limit_notice(values.get(Header.REQUEST_LIMIT)),
        )


def _only_key(keys: set[str]) -> str | None:
    """Return the key of a request, None without one, an empty text if there are several."""
    if not keys:
        return None
    return keys.pop() if len(keys) == 1 else ""


def _only_value(headers: Headers, name: str) -> str:
    """Return the value of a header, empty without it and if there are several values."""
    values = {value for key, value in headers if key == name}
    return values.pop() if len(values) == 1 else ""


def _host(text: str) -> str:
    return text.partition(":")[0].lower()


def _forwarded_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers and those that the gateway sets itself."""
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key == "connection"
        for name in value.split(",")
    }
    dropped = CONNECTION_HEADERS | GATEWAY_HEADERS | (connection_options - {Header.REQUEST_ID})
    return tuple(line for line in headers if line[0] not in dropped)


def _parse_timeout_s(text: str) -> float | None:
    """Return the seconds of a timeout, None if it is absent or not a number."""
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return None
    return None if math.isnan(timeout_s) else max(0.0, timeout_s)


def _retry_after_s(text: str) -> float | None:
    """Return the seconds of a Retry-After value, None unless it is a finite number above 0."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0.0 else None


def _limit_notice(text: str | None) -> LimitNotice | None:
    """Return the request limit in a header's value, None without the header."""
    if text is None:
        return None
    readable = REQUEST_LIMIT.fullmatch(text.strip()) is not None
    return LimitNotice(text, float(text) if readable else None)


def _parse_counts(text: str, size: int) -> tuple[int, ...] | None:
    """Return `size` comma-separated counts, or None if the text has another form or number.

    Negative and very large numbers would distort or overflow the estimates made from them.
    """
    parts = [part.strip() for part in text.split(",")]
    if len(parts) != size or not all(map(COUNT.fullmatch, parts)):
        return None
    return tuple(map(int, parts))


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        part_id, _, tokens = item.partition(":")
        if not TOKEN_COUNT.fullmatch(tokens):
            return ()
        parts.append(PromptPart(part_id.strip(), int(tokens)))
    return _join_rest(parts)


def _shared_part_ids(headers: Headers) -> tuple[str, ...]:
    """Return the identifiers of all parts but the last, whatever their sizes say."""
    lines = [value for name, value in headers if name == Header.PROMPT_PARTS]
    items = [item.partition(":")[0].strip() for line in lines for item in line.split(",")]
    return tuple(items[:-1])


def _join_rest(parts: list[PromptPart]) -> tuple[PromptPart, ...]:
    """Return the parts, with those beyond MAX_PROMPT_PARTS as a part of the last one."""
    kept, rest = parts[: MAX_PROMPT_PARTS - 1], parts[MAX_PROMPT_PARTS - 1 :]
    if rest:
        kept.append(PromptPart(rest[-1].part_id, sum(part.tokens for part in rest)))
    return tuple(kept)


def _media_type(text: str | None) -> str | None:
    return None if text is None else text.partition(";")[0].strip().lower()


def _parse_keep_alive_s(text: str) -> float | None:
    found = KEEP_ALIVE_TIMEOUT.search(text)
    return float(found[1]) if found else None
