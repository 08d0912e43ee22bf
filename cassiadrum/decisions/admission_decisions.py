"""Results of an admission decision."""

from typing import NamedTuple

__all__ = ["Admitted", "Rejected"]


class Admitted(NamedTuple):
    """The request is accepted.

    `uncorrected_s` is the predicted wait in seconds, `predicted_s` the same after the learned
    correction.
    """

    predicted_s: float = 0.0
    uncorrected_s: float = 0.0


class Rejected(NamedTuple):
    """The request is refused before it is queued; `retry_after_s` is in seconds."""

    reason: str
    retry_after_s: float
