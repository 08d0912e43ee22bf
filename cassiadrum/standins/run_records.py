"""What an endpoint stand-in did."""

from typing import TypedDict

__all__ = ["RunRecord"]


class RunRecord(TypedDict):
    """One call that reached an endpoint; times are wall-clock seconds, `ended` 0 while running.

    `tokens` counts computed tokens; `completed` is False for a cancelled or cut call.
    """

    request_id: str
    method: str
    target: str
    key: str
    started: float
    ended: float
    tokens: int
    completed: bool
