"""The claim of a once-only call right before its effect."""

import hashlib
from typing import NamedTuple

from cassiadrum.decisions import ExecutionStatus, Outcome
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links.messages import StartRequest
from cassiadrum.protocols import Headers
from cassiadrum.states import (
    AlreadyCompleted,
    Claimed,
    ClaimKey,
    ClaimService,
    InProgress,
    KeptAnswer,
    KeyReused,
    StoreUnavailable,
)

__all__ = ["GateAnswer", "OnceGate"]


class GateAnswer(NamedTuple):
    """What to tell the caller instead of running the call; `kept` is an earlier answer."""

    outcome: Outcome
    kept: KeptAnswer | None = None


class OnceGate:
    """Let each once-only call pass once, and record how it ended."""

    def __init__(self, claims: ClaimService, ring: EventRing) -> None:
        self._claims = claims
        self._ring = ring

    async def enter(self, start: StartRequest) -> Claimed | GateAnswer:
        """Claim the call; only a Claimed permits the effect."""
        key = ClaimKey(start.service, start.customer, start.key)
        result = await self._claims.claim(key, _body_hash(start), max(0.0, start.deadline_left_s))
        if isinstance(result, Claimed):
            self._record(EventKind.CLAIM_MADE, start)
            return result
        answer = _answer(result)
        self._record(EventKind.CLAIM_REFUSED, start, reason=answer.outcome.reason or "kept")
        return answer

    async def leave(
        self, start: StartRequest, claim: Claimed, outcome: Outcome, answer: KeptAnswer | None
    ) -> None:
        """Record the end of the call; what cannot be written now is written later."""
        if outcome.ok and answer is not None:
            await self._claims.record_answer(claim, answer)
            state = "done"
        elif outcome.ran is ExecutionStatus.NOT_EXECUTED:
            await self._claims.record_not_run(claim)
            state = "not_run"
        else:
            await self._claims.record_lost_answer(claim)
            state = "unknown"
        self._record(EventKind.CLAIM_RESOLVED, start, state=state)

    def _record(self, kind: EventKind, start: StartRequest, **fields: object) -> None:
        self._ring.record(
            kind, start.request_id, start.service, start.class_name, start.customer, **fields
        )


def relayed_headers(headers: Headers) -> Headers:
    """Return the headers that are kept with an answer."""
    return tuple((k, v) for k, v in headers if k in ("content-type", "location", "etag"))


def _answer(result: object) -> GateAnswer:
    if isinstance(result, AlreadyCompleted):
        if not result.answer.body_kept:
            return GateAnswer(Outcome(False, ExecutionStatus.EXECUTED, 0, "answer_lost"))
        return GateAnswer(Outcome(True, ExecutionStatus.EXECUTED), result.answer)
    if isinstance(result, KeyReused):
        return GateAnswer(
            Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "key_reused", final=True)
        )
    if isinstance(result, InProgress):
        outcome = Outcome(False, ExecutionStatus.UNKNOWN, 0, "in_progress", result.retry_after_s)
        return GateAnswer(outcome)
    if isinstance(result, StoreUnavailable):
        outcome = Outcome(
            False,
            ExecutionStatus.NOT_EXECUTED,
            0,
            "store_unavailable",
            result.retry_after_s,
            final=True,
        )
        return GateAnswer(outcome)
    return GateAnswer(Outcome(False, ExecutionStatus.UNKNOWN, 0, "answer_lost"))


def _body_hash(start: StartRequest) -> str:
    digest = hashlib.sha256(f"{start.method} {start.target}\n".encode())
    digest.update(start.body)
    return digest.hexdigest()
