"""What admission says about a request."""

from typing import NamedTuple

__all__ = ["Admitted", "Rejected"]


class Admitted(NamedTuple):
    """Accept the request; both waits are in seconds, before and after the learned correction."""

    predicted_s: float = 0.0
    uncorrected_s: float = 0.0


class Rejected(NamedTuple):
    """Refuse the request at once; `retry_after_s` is in seconds."""

    reason: str
    retry_after_s: float
