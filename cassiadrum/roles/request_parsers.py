"""Parsing of callers' HTTP requests into requests of a class."""

import secrets
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import unquote

import msgspec

from cassiadrum.decisions import QueuedRequest, prefix_keys
from cassiadrum.defaults import LIMITS
from cassiadrum.documents import RequestClass, ServiceDocument
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.errors import InvalidRequest
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["RequestParser"]

# Larger numbers would overflow in the estimates made from them.
MAX_TOKENS = 10**9
CHARS_PER_TOKEN = 4
MAX_NAME_CHARS = 128
MAX_KEY_CHARS = 255
SILENCE_TARGET_MULTIPLE = 3.0
# Fraction of the deadline after which a silent endpoint is left, if the call may be repeated.
SILENCE_DEADLINE_FRACTION = 0.5


class CompletionParameters(NamedTuple):
    """Parameters of a completion request that determine its cost and placement."""

    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    model: str = ""
    adapter: str = ""
    streams: bool = False


class RequestParser:
    """Parser for the service, class, customer and cost of a request.

    `find_document` returns the document of a service, or None; `clock` returns monotonic seconds.
    """

    def __init__(
        self,
        instance: str,
        find_document: Callable[[str], ServiceDocument | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # The random part keeps ids unique across restarts of the instance.
        self._id_prefix = f"{instance}-{secrets.token_hex(4)}"
        self._find_document = find_document
        self._clock = clock
        self._request_count = 0

    def parse(self, http: HttpRequest) -> PendingRequest:
        """Return the request to route; raise InvalidRequest if it cannot be routed."""
        _, _, name, *rest = http.path.split("/", 3)
        target = "/" + (rest[0] if rest else "")
        _check_path(target)
        document = self._find_document(name)
        if document is None:
            raise InvalidRequest("unknown_service", f"unknown service `{name[:MAX_NAME_CHARS]}`")
        cls = _find_class(document, http, target)
        key = _check_idempotency_key(cls, http.header("idempotency-key"))
        params = (
            _completion_parameters(http) if document.kind == "model" else CompletionParameters()
        )
        if http.query:
            target = f"{target}?{http.query}"
        queued = self._make_queued(document, cls, http, params)
        silence_s = _silence_limit_s(cls, params.streams)
        return PendingRequest(queued, cls, http, target, key, silence_s)

    def _make_queued(
        self,
        document: ServiceDocument,
        cls: RequestClass,
        http: HttpRequest,
        params: CompletionParameters,
    ) -> QueuedRequest:
        self._request_count += 1
        now = self._clock()
        return QueuedRequest(
            request_id=f"{self._id_prefix}-{self._request_count}",
            service=document.name,
            class_name=cls.name,
            tier=cls.tier,
            protected=cls.protected,
            customer=http.header("x-customer", "anonymous")[:MAX_NAME_CHARS],
            arrived_s=now,
            deadline_s=now + cls.deadline_s,
            prompt_tokens=params.prompt_tokens,
            max_tokens=params.max_tokens,
            prefix_keys=params.prefix_keys,
            model=params.model if params.model in document.models else "",
            adapter=params.adapter,
            idempotent=cls.idempotent,
            once_only=cls.once_only,
            max_wait_s=cls.max_wait_s,
            min_share=cls.min_share,
        )


def _check_path(target: str) -> None:
    """Reject dot segments, which an endpoint could resolve to a path of another class."""
    segments = unquote(target).replace("\\", "/").split("/")
    if ".." in segments or "." in segments:
        raise InvalidRequest("bad_request", "the path contains a `.` or `..` segment")


def _find_class(document: ServiceDocument, http: HttpRequest, target: str) -> RequestClass:
    named = http.header("x-request-class")
    cls = document.find_class(named) if named else document.match_class(http.method, target)
    if cls is None:
        what = f"`{named[:MAX_NAME_CHARS]}`" if named else f"for {http.method} {target[:200]}"
        raise InvalidRequest("unknown_class", f"{document.name} has no class {what}")
    if named and not cls.matches(http.method, target):
        detail = f"class `{named}` does not accept {http.method} {target[:200]}"
        raise InvalidRequest("unknown_class", detail)
    return cls


def _check_idempotency_key(cls: RequestClass, key: str) -> str:
    if cls.once_only and not key:
        raise InvalidRequest("key_required", f"class `{cls.name}` requires an Idempotency-Key")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        allowed = f"at most {MAX_KEY_CHARS} printable characters"
        raise InvalidRequest("bad_request", f"the Idempotency-Key is invalid; allowed: {allowed}")
    return key if cls.once_only else ""


def _silence_limit_s(cls: RequestClass, streams: bool) -> float:
    """Return the time without a byte after which the endpoint is considered unreachable."""
    if not cls.cancellable:
        return cls.deadline_s
    target_s = cls.target_first_token_s if streams else cls.target_total_s
    limit_s = max(LIMITS.ENDPOINT_SILENCE_LIMIT_S, SILENCE_TARGET_MULTIPLE * target_s)
    return min(limit_s, SILENCE_DEADLINE_FRACTION * cls.deadline_s) if cls.idempotent else limit_s


def _completion_parameters(http: HttpRequest) -> CompletionParameters:
    if http.method != "POST":
        return CompletionParameters()
    try:
        body = msgspec.json.decode(http.body, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError) as exc:
        raise InvalidRequest("bad_request", f"the body is not a JSON object: {exc}") from exc
    max_tokens = body.get("max_tokens", 0)
    if type(max_tokens) is not int or not 0 <= max_tokens <= MAX_TOKENS:
        detail = f"max_tokens is not an integer from 0 to {MAX_TOKENS}"
        raise InvalidRequest("bad_request", detail)
    prompt = _prompt_text(body)
    return CompletionParameters(
        len(prompt) // CHARS_PER_TOKEN + 1,
        max_tokens,
        prefix_keys(prompt),
        _string_field(body, "model"),
        _string_field(body, "adapter"),
        body.get("stream") is True,
    )


def _string_field(body: dict[str, Any], key: str) -> str:
    value = body.get(key)
    if value is not None and not isinstance(value, str):
        raise InvalidRequest("bad_request", f"{key} is not a string")
    return value or ""


def _prompt_text(body: dict[str, Any]) -> str:
    if "prompt" in body:
        return str(body["prompt"])
    messages = body.get("messages")
    if not isinstance(messages, list) or not all(isinstance(msg, dict) for msg in messages):
        raise InvalidRequest("bad_request", "the body has neither `prompt` nor `messages`")
    return "\n".join(str(msg.get("content", "")) for msg in messages)
