"""Open-loop sender of a load plan."""

import asyncio
import hashlib
import json
import random
import time
from collections.abc import Sequence
from typing import NamedTuple

from cassiadrum.documents import RequestClass, ServiceDocument
from cassiadrum.invariants import CallerOutcome
from cassiadrum.loads.class_results import ClassResult
from cassiadrum.loads.load_plans import MAX_TOKENS, LoadPlan, PlannedRequest
from cassiadrum.protocols import Headers, HttpClient, HttpError, HttpResponse
from cassiadrum.standins import answer_text

__all__ = ["LoadSender"]

PROBLEM_TYPE = "application/problem+json"
# How long a caller waits for an answer after the deadline of its class.
DEADLINE_GRACE_S = 10.0


class _Answer(NamedTuple):
    status: int
    request_id: str
    content: bytes
    first_s: float | None
    total_s: float
    ran: str
    reason: str
    complete: bool


class LoadSender:
    """Sender of requests at their planned times, without waiting for earlier answers.

    `standins` states that the engines are the stand-ins of this project. Their answers are known
    in advance and are checked.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        documents: Sequence[ServiceDocument],
        seed: int,
        *,
        standins: bool = True,
    ) -> None:
        self.outcomes: list[CallerOutcome] = []
        self.results: dict[tuple[str, str], ClassResult] = {}
        self._classes: dict[tuple[str, str], RequestClass] = {}
        for document in documents:
            for cls in document.classes:
                self.results[document.name, cls.name] = ClassResult(cls, document.kind)
                self._classes[document.name, cls.name] = cls
        self._clients = [
            HttpClient(address.rpartition(":")[0], int(address.rpartition(":")[2]))
            for address in addresses
        ]
        self._rng = random.Random(seed)
        self._standins = standins

    async def run(self, plan: LoadPlan) -> None:
        """Send all requests of the plan and wait for every answer."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for req in plan.requests:
                due_s = started_s + req.at_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                group.create_task(self._send(req, self._rng.choice(self._clients), due_s))
        for client in self._clients:
            client.close()

    async def _send(self, req: PlannedRequest, client: HttpClient, due_s: float) -> None:
        result = self.results[req.service, req.class_name]
        result.sent += 1
        limit_s = self._classes[req.service, req.class_name].deadline_s + DEADLINE_GRACE_S
        answer = await _send_request(req, client, due_s, limit_s)
        tokens = len(answer.content.split()) if req.prompt else 0
        if answer.complete and answer.status < 300:
            result.record_answer(answer.first_s or answer.total_s, answer.total_s, tokens)
        else:
            result.refusals[answer.reason or "connection_lost"] += 1
        self.outcomes.append(_outcome(req, answer, self._standins))


async def _send_request(
    req: PlannedRequest, client: HttpClient, due_s: float, limit_s: float
) -> _Answer:
    headers: Headers = (("x-customer", req.customer), ("x-request-class", req.class_name))
    if req.body:
        headers = (*headers, ("content-type", "application/json"))
    if req.key:
        headers = (*headers, ("idempotency-key", req.key))
    try:
        async with asyncio.timeout(limit_s):
            response = await client.request(req.method, req.target, headers, req.body)
            return await _read_answer(response, due_s)
    except (HttpError, TimeoutError) as exc:
        reason = "no_answer" if isinstance(exc, TimeoutError) else ""
        return _Answer(0, "", b"", None, time.monotonic() - due_s, "", reason, False)


async def _read_answer(response: HttpResponse, started_s: float) -> _Answer:
    request_id = response.header("x-request-id").partition("@")[0]
    if "." in request_id:
        request_id = request_id.rpartition(".")[0]
    body, first_s, complete = b"", None, True
    try:
        async for data in response.body:
            if first_s is None:
                first_s = time.monotonic() - started_s
            body += data
    except HttpError:
        complete = False
    total_s = time.monotonic() - started_s
    content_type = response.header("content-type")
    if content_type == PROBLEM_TYPE:
        problem = json.loads(body)
        ran, reason = problem["ran"], problem["reason"]
        return _Answer(response.status, request_id, body, first_s, total_s, ran, reason, True)
    if not content_type.startswith("text/event-stream"):
        content = _completion_text(body) if complete else body
        return _Answer(response.status, request_id, content, first_s, total_s, "", "", complete)
    text, problem, ended = _stream_text(body)
    ran, reason = (problem["ran"], problem["reason"]) if problem else ("", "")
    whole = complete and ended
    return _Answer(response.status, request_id, text, first_s, total_s, ran, reason, whole)


def _completion_text(body: bytes) -> bytes:
    """Return the text of a completion, or the body of another answer."""
    try:
        parsed = json.loads(body)
    except ValueError:
        # A plain service may answer in any format.
        return body
    if isinstance(parsed, dict) and "choices" in parsed:
        return str(parsed["choices"][0]["message"]["content"]).encode()
    return body


def _stream_text(body: bytes) -> tuple[bytes, dict[str, str], bool]:
    """Return the text of an event stream, its error event, and whether it ended with `[DONE]`."""
    text, problem, ended = "", {}, False
    for event in body.decode().split("\n\n"):
        data = event.rpartition("data: ")[2]
        if event.startswith("event: error"):
            problem = json.loads(data)
        elif data == "[DONE]":
            ended = True
        elif data:
            text += json.loads(data)["choices"][0]["delta"]["content"]
    return text.encode(), problem, ended


def _outcome(req: PlannedRequest, answer: _Answer, standins: bool) -> CallerOutcome:
    verifiable = standins and req.prompt
    expected = _sha256_hex(answer_text(req.prompt, MAX_TOKENS).encode()) if verifiable else ""
    return CallerOutcome(
        answer.request_id,
        req.service,
        req.class_name,
        req.customer,
        req.key,
        answer.status,
        answer.ran,
        _sha256_hex(answer.content),
        expected,
        None if answer.first_s is None else time.time() - answer.total_s + answer.first_s,
        answer.complete,
    )


def _sha256_hex(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()
