"""Outcome of an attempt to run a request."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ExecutionStatus", "Outcome"]


class ExecutionStatus(StrEnum):
    """Whether a request was executed; UNKNOWN if the answer was lost."""

    NOT_EXECUTED = "no"
    EXECUTED = "yes"
    UNKNOWN = "unknown"

    def combined(self, other: "ExecutionStatus") -> "ExecutionStatus":
        """Return the status of a request after two attempts with these statuses."""
        for ran in (ExecutionStatus.EXECUTED, ExecutionStatus.UNKNOWN):
            if ran in (self, other):
                return ran
        return ExecutionStatus.NOT_EXECUTED


class Outcome(NamedTuple):
    """Whether an attempt succeeded and ran, and how many tokens it produced.

    `reason` is a refusal reason as callers receive it, empty on success.
    `retry_after_s` is in seconds, 0 if unknown. `final` forbids another attempt, because the
    caller already received a part of the answer that no other attempt can continue.
    """

    ok: bool
    ran: ExecutionStatus
    tokens: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    final: bool = False
