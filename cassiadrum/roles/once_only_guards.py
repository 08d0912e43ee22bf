"""Claims for once-only calls, made right before the call to the endpoint."""

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

__all__ = ["ClaimRefusal", "OnceOnlyGuard"]


class ClaimRefusal(NamedTuple):
    """Outcome of a call whose claim was refused.

    `stored_answer` is the answer of the earlier call with the same key, if it was stored.
    """

    outcome: Outcome
    stored_answer: KeptAnswer | None = None


class OnceOnlyGuard:
    """Guard that permits each once-only call at most once and stores its result in the claim."""

    def __init__(self, claims: ClaimService, ring: EventRing) -> None:
        self._claims = claims
        self._ring = ring

    async def claim(self, start: StartRequest) -> Claimed | ClaimRefusal:
        """Claim the call's key; the call may be sent to the endpoint only on a Claimed."""
        key = ClaimKey(start.service, start.customer, start.key)
        result = await self._claims.claim(key, _body_hash(start), max(0.0, start.deadline_left_s))
        if isinstance(result, Claimed):
            self._record(EventKind.CLAIM_MADE, start)
            return result
        answer = _refusal(result)
        self._record(EventKind.CLAIM_REFUSED, start, reason=answer.outcome.reason or "kept")
        return answer

    async def settle(
        self, start: StartRequest, claim: Claimed, outcome: Outcome, answer: KeptAnswer | None
    ) -> None:
        """Write the result to the claim.

        If the table service does not answer, the claim service keeps the write and repeats it.
        """
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


def stored_headers(headers: Headers) -> Headers:
    """Return the response headers that are stored with an answer."""
    return tuple((k, v) for k, v in headers if k in ("content-type", "location", "etag"))


def _refusal(result: object) -> ClaimRefusal:
    if isinstance(result, AlreadyCompleted):
        if not result.answer.body_kept:
            return ClaimRefusal(Outcome(False, ExecutionStatus.EXECUTED, 0, "answer_lost"))
        return ClaimRefusal(Outcome(True, ExecutionStatus.EXECUTED), result.answer)
    if isinstance(result, KeyReused):
        return ClaimRefusal(
            Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "key_reused", final=True)
        )
    if isinstance(result, InProgress):
        outcome = Outcome(False, ExecutionStatus.UNKNOWN, 0, "in_progress", result.retry_after_s)
        return ClaimRefusal(outcome)
    if isinstance(result, StoreUnavailable):
        outcome = Outcome(
            False,
            ExecutionStatus.NOT_EXECUTED,
            0,
            "store_unavailable",
            result.retry_after_s,
            final=True,
        )
        return ClaimRefusal(outcome)
    return ClaimRefusal(Outcome(False, ExecutionStatus.UNKNOWN, 0, "answer_lost"))


def _body_hash(start: StartRequest) -> str:
    digest = hashlib.sha256(f"{start.method} {start.target}\n".encode())
    digest.update(start.body)
    return digest.hexdigest()
