"""Record of the calls that an endpoint stand-in executed."""

from typing import TypedDict

__all__ = ["RunRecord"]


class RunRecord(TypedDict):
    """One call that reached an endpoint.

    Times are wall-clock seconds since the epoch; `ended` is 0 while the call is running. `tokens`
    is the number of computed tokens. `completed` is False for a cancelled or aborted call.
    """

    request_id: str
    method: str
    target: str
    key: str
    started: float
    ended: float
    tokens: int
    completed: bool
