"""Storage of answers of once-only calls, in the claim's row or in the object store."""

from cassiadrum.defaults import LIMITS
from cassiadrum.states.claim_records import ClaimRecord, StoredAnswer
from cassiadrum.states.kept_answers import KeptAnswer
from cassiadrum.stores import Done, ObjectStore, StoreUnavailable

__all__ = ["PLACEHOLDER_ANSWER", "AnswerStore"]

OBJECT_PREFIX = "once/"
# Stands for the unknown answer of a call that an operator marked as run.
PLACEHOLDER_ANSWER = StoredAnswer(200, (), b"", False)


class AnswerStore:
    """Store bodies up to KEPT_ANSWER_BYTES in the claim's row and larger ones as objects."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def save(self, record: ClaimRecord, answer: KeptAnswer) -> ClaimRecord:
        """Return the record with the answer added; a body that cannot be stored is left out."""
        stored = StoredAnswer(answer.status, answer.headers, answer.body, answer.body_kept)
        if len(answer.body) <= LIMITS.KEPT_ANSWER_BYTES:
            return record._replace(answer=stored)
        key = OBJECT_PREFIX + record.operation_id
        kept = isinstance(await self._objects.put(key, answer.body), Done)
        stored = stored._replace(body=b"", body_kept=kept)
        return record._replace(answer=stored, object_key=key if kept else "")

    async def load(self, record: ClaimRecord) -> KeptAnswer:
        """Return the stored answer, without its body if that cannot be read."""
        answer = KeptAnswer(*(record.answer or PLACEHOLDER_ANSWER))
        if not record.object_key:
            return answer
        try:
            body = await self._objects.get(record.object_key)
        except StoreUnavailable:
            body = None
        return answer._replace(body=body or b"", body_kept=body is not None)

    async def remove(self, object_key: str) -> bool:
        """Delete an answer's object; return whether none is left."""
        return not object_key or isinstance(await self._objects.delete(object_key), Done)
