"""How an attempt of a request ended."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ExecutionStatus", "Outcome"]


class ExecutionStatus(StrEnum):
    """Tell truthfully whether a request ran."""

    NOT_EXECUTED = "no"
    EXECUTED = "yes"
    UNKNOWN = "unknown"

    def combined(self, other: "ExecutionStatus") -> "ExecutionStatus":
        """Return what is true of a request after two attempts."""
        for ran in (ExecutionStatus.EXECUTED, ExecutionStatus.UNKNOWN):
            if ran in (self, other):
                return ran
        return ExecutionStatus.NOT_EXECUTED


class Outcome(NamedTuple):
    """State whether an attempt succeeded, whether it ran, and the tokens it produced.

    `reason` is one of the refusal reasons of the design page, empty on success.
    `retry_after_s` is in seconds, 0 when unknown. `final` forbids another attempt, because the
    caller has a part of the answer that no other attempt can continue.
    """

    ok: bool
    ran: ExecutionStatus
    tokens: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    final: bool = False
