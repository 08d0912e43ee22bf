"""Claims, which let a call run at most once."""

import time
import uuid
from collections.abc import Callable
from typing import Final

from cassiadrum.states.answer_stores import PLACEHOLDER_ANSWER, AnswerStore
from cassiadrum.states.claim_keys import ClaimKey
from cassiadrum.states.claim_records import ClaimRecord, ClaimState
from cassiadrum.states.claim_results import (
    AlreadyCompleted,
    Claimed,
    ClaimResult,
    InProgress,
    KeyReused,
    OutcomeUnknown,
    StoreUnavailable,
)
from cassiadrum.states.errors import InvalidRecord
from cassiadrum.states.kept_answers import KeptAnswer
from cassiadrum.states.pending_outcomes import PendingOutcome, PendingOutcomes
from cassiadrum.stores import Conflict, Done, ObjectStore, Refused, Row, TableStore, WriteResult
from cassiadrum.stores import StoreUnavailable as ReadFailed

__all__ = ["CLAIM_TABLE", "ClaimService"]

CLAIM_TABLE: Final = "once"
CLAIM_ATTEMPTS: Final = 3
# Time after the class deadline until a running claim is taken as lost with its sidecar.
EXPIRY_GRACE_S: Final = 60.0
RETRY_AFTER_S: Final = 1.0


class ClaimService:
    """The claims of calls, made before a call runs and completed with its outcome.

    Outcomes that cannot be written are kept in `pending` and retried by `write_pending`.
    """

    def __init__(
        self,
        store: TableStore,
        objects: ObjectStore,
        instance: str,
        *,
        wall_clock: Callable[[], float] = time.time,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._store = store
        self._answers = AnswerStore(objects)
        self._instance = instance
        self._wall_clock = wall_clock
        self._new_id = new_id
        self.pending = PendingOutcomes()

    async def claim(self, key: ClaimKey, body_hash: str, deadline_s: float) -> ClaimResult:
        """Claim a call whose class deadline is `deadline_s` seconds from now.

        Only `Claimed` permits the call to run. The caller then reports the outcome through
        `record_answer`, `record_lost_answer` or `record_not_run`.
        """
        now = self._wall_clock()
        record = ClaimRecord(
            ClaimState.RUNNING,
            self._new_id(),
            body_hash,
            self._instance,
            now,
            now + deadline_s + EXPIRY_GRACE_S,
        )
        expected, sent = 0, False
        for _ in range(CLAIM_ATTEMPTS):
            result = await self._write(key, record, expected)
            if isinstance(result, Done):
                return Claimed(key, record, result.version)
            if isinstance(result, Refused):
                break
            row = result.row if isinstance(result, Conflict) else None
            if not isinstance(result, Conflict):
                sent = True
                try:
                    row = await self._store.get(CLAIM_TABLE, key.row_key())
                except ReadFailed:
                    break
            if row is not None and row.version != expected:
                judged = await self._evaluate_existing(key, record, row)
                if judged is not None:
                    return judged
            expected = row.version if row else 0
        return self._refuse(key, record, sent)

    async def record_answer(self, claim: Claimed, answer: KeptAnswer) -> bool:
        """Record that the call ran, with its answer; return whether this is durable now."""
        done = claim.record._replace(state=ClaimState.DONE)
        return await self._record_outcome(claim, await self._answers.save(done, answer))

    async def record_lost_answer(self, claim: Claimed) -> bool:
        """Record that the endpoint's answer was lost; return whether this is durable now."""
        return await self._record_outcome(claim, claim.record._replace(state=ClaimState.UNKNOWN))

    async def record_not_run(self, claim: Claimed) -> bool:
        """Record that the call certainly did not run, so that a retry may claim it again.

        Returns whether this is durable now.
        """
        return await self._record_outcome(claim, claim.record._replace(state=ClaimState.NOT_RUN))

    async def write_pending(self) -> int:
        """Retry the pending outcomes; return how many are still not written."""
        for outcome in self.pending.snapshot():
            if await self._write_pending_outcome(outcome):
                self.pending.remove(outcome.record.operation_id)
        return len(self.pending)

    async def resolve_unknown(self, key: ClaimKey, *, ran: bool) -> bool:
        """Resolve an `unknown` claim after an operator has checked the endpoint's records.

        `ran=False` permits the call to run again. Returns False if the claim is not in state
        `unknown` or could not be written; raises the store's StoreUnavailable and InvalidRecord.
        """
        row = await self._store.get(CLAIM_TABLE, key.row_key())
        record = ClaimRecord.from_value(row.value) if row else None
        if row is None or record is None or record.state is not ClaimState.UNKNOWN:
            return False
        state = ClaimState.DONE if ran else ClaimState.NOT_RUN
        settled = record._replace(state=state, answer=PLACEHOLDER_ANSWER if ran else None)
        return isinstance(await self._write(key, settled, row.version), Done)

    async def _evaluate_existing(
        self, key: ClaimKey, own: ClaimRecord, row: Row
    ) -> ClaimResult | None:
        """Return the result that an existing row implies, None if the row may be replaced.

        Only a claim in state `not_run` may be replaced.
        """
        try:
            found = ClaimRecord.from_value(row.value)
        except InvalidRecord:
            return OutcomeUnknown()
        if found.operation_id == own.operation_id and found.state is ClaimState.RUNNING:
            return Claimed(key, own, row.version)
        if found.body_hash != own.body_hash:
            return KeyReused()
        if found.state is ClaimState.NOT_RUN:
            return None
        if found.state is ClaimState.DONE:
            return AlreadyCompleted(await self._answers.load(found))
        if found.state is ClaimState.RUNNING:
            if self._wall_clock() <= found.expires_at:
                return InProgress(RETRY_AFTER_S)
            expired = found._replace(state=ClaimState.UNKNOWN)
            # The result of this write does not matter: the row prevents a new claim either way.
            await self._write(key, expired, row.version)
        return OutcomeUnknown()

    def _refuse(self, key: ClaimKey, record: ClaimRecord, sent: bool) -> StoreUnavailable:
        """Refuse a call; if its claim may still reach the store, have it marked as not run."""
        if sent:
            outcome = PendingOutcome(key, record._replace(state=ClaimState.NOT_RUN))
            self.pending.add(outcome)
        return StoreUnavailable(RETRY_AFTER_S)

    async def _record_outcome(self, claim: Claimed, record: ClaimRecord) -> bool:
        result = await self._write(claim.key, record, claim.row_version)
        if isinstance(result, Done):
            return True
        outcome = PendingOutcome(claim.key, record)
        if not isinstance(result, Refused) and await self._write_pending_outcome(outcome):
            return True
        self.pending.add(outcome)
        return False

    async def _write_pending_outcome(self, outcome: PendingOutcome) -> bool:
        """Write an outcome over its own claim; return whether nothing is left to do."""
        try:
            row = await self._store.get(CLAIM_TABLE, outcome.key.row_key())
            found = ClaimRecord.from_value(row.value) if row else None
        except ReadFailed:
            return False
        except InvalidRecord:
            return True
        own = found is not None and found.operation_id == outcome.record.operation_id
        if found is not None and (not own or found.state == outcome.record.state):
            return True
        if found is not None and found.state is ClaimState.DONE:
            return True
        # Without a row, the claim may still arrive; the outcome is written in its place.
        result = await self._write(outcome.key, outcome.record, row.version if row else 0)
        return isinstance(result, Done)

    async def _write(self, key: ClaimKey, record: ClaimRecord, expected: int) -> WriteResult:
        return await self._store.put(CLAIM_TABLE, key.row_key(), record.to_value(), expected)
