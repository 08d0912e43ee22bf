"""How an attempt of a request ended."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["Outcome", "Ran"]


class Ran(StrEnum):
    """Tell truthfully whether a request ran."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"

    def combined(self, other: "Ran") -> "Ran":
        """Return what is true of a request after two attempts."""
        for ran in (Ran.YES, Ran.UNKNOWN):
            if ran in (self, other):
                return ran
        return Ran.NO


class Outcome(NamedTuple):
    """State whether an attempt succeeded, whether it ran, and the tokens it produced.

    `reason` is one of the refusal reasons of the design page, empty on success.
    `retry_after_s` is in seconds, 0 when unknown. `final` forbids another attempt, because the
    caller has a part of the answer that no other attempt can continue.
    """

    ok: bool
    ran: Ran
    tokens: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    final: bool = False
