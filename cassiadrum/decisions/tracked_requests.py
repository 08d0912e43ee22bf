"""Accepted request with its attempts."""

from dataclasses import dataclass, field

from cassiadrum.decisions.admission_decisions import Admitted
from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["TrackedRequest"]


@dataclass(slots=True)
class TrackedRequest:
    """An accepted request that has not ended.

    `copies` maps the instances that run the current attempt to the times of dispatch, in monotonic
    seconds. `winner` is the instance that sent the first token. `ran` covers all attempts,
    `attempt_ran` only the failed copies of the current one. `rejections` counts the attempts that
    did not run, which do not count towards the limit on attempts that may have run. `abandoned`
    is set after the caller disconnected. `version` is the software version of the endpoint that
    gave a part of the answer, at which it has to go on; None while there is no part.
    """

    req: QueuedRequest
    admitted: Admitted
    submitted_s: float
    ran: ExecutionStatus = ExecutionStatus.NOT_EXECUTED
    attempt_ran: ExecutionStatus = ExecutionStatus.NOT_EXECUTED
    last_failed_instance: str = ""
    winner: str = ""
    rejections: int = 0
    abandoned: bool = False
    version: str | None = None
    copies: dict[str, float] = field(default_factory=dict)

    @property
    def may_repeat(self) -> bool:
        """Return whether another attempt cannot repeat an effect that must occur only once."""
        return self.ran is ExecutionStatus.NOT_EXECUTED or (
            self.req.idempotent and not self.req.once_only
        )

    @property
    def may_be_hedged(self) -> bool:
        """Return whether one copy runs without an answer so far, and a second one is safe."""
        harmless = self.req.idempotent and not self.req.once_only
        return harmless and not self.winner and not self.abandoned and len(self.copies) == 1

    @property
    def attempts_with_same_outcome(self) -> int:
        """Return the number of earlier attempts that ended as the current one did."""
        if self.attempt_ran is ExecutionStatus.NOT_EXECUTED:
            return self.rejections
        return self.req.attempt - self.rejections

    def primary_instance(self) -> str:
        """Return the instance whose copy answers, empty without copies."""
        return self.winner or next(iter(self.copies), "")

    def record_failure(self, instance: str, ran: ExecutionStatus) -> None:
        """Record the failure of one copy."""
        self.last_failed_instance = instance
        self.ran = self.ran.combined(ran)
        self.attempt_ran = self.attempt_ran.combined(ran)

    def begin_next_attempt(self) -> None:
        """Reset the state of the current attempt and count one more."""
        self.rejections += self.attempt_ran is ExecutionStatus.NOT_EXECUTED
        self.req = self.req._replace(attempt=self.req.attempt + 1)
        self.attempt_ran = ExecutionStatus.NOT_EXECUTED
        self.winner = ""
