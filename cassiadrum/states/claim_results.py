"""Results of claiming a once-only call."""

from typing import NamedTuple

from cassiadrum.states.claim_keys import ClaimKey
from cassiadrum.states.claim_records import ClaimRecord
from cassiadrum.states.kept_answers import KeptAnswer

__all__ = [
    "AlreadyCompleted",
    "ClaimResult",
    "Claimed",
    "InProgress",
    "KeyReused",
    "OutcomeUnknown",
    "StoreUnavailable",
]


class Claimed(NamedTuple):
    """The claim was made: this caller alone may run the call, once."""

    key: ClaimKey
    record: ClaimRecord
    row_version: int


class AlreadyCompleted(NamedTuple):
    """The call already ran; `answer` is the stored one (200 or the endpoint's status)."""

    answer: KeptAnswer


class InProgress(NamedTuple):
    """Another request with the same key is running (409, `ran: unknown`)."""

    retry_after_s: float


class KeyReused(NamedTuple):
    """The key was used for a call with another body (422, `ran: no`)."""


class OutcomeUnknown(NamedTuple):
    """The call may have run and is not run again (502, `ran: unknown`)."""


class StoreUnavailable(NamedTuple):
    """The claim could not be made, so the call does not run (503, `ran: no`)."""

    retry_after_s: float


ClaimResult = (
    Claimed | AlreadyCompleted | InProgress | KeyReused | OutcomeUnknown | StoreUnavailable
)
