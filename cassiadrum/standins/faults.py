"""Faults that can be injected into a stand-in."""

from typing import NamedTuple

__all__ = ["Faults"]


class Faults(NamedTuple):
    """The faults in effect; by default there are none.

    With `down`, requests are answered with 503 and not applied. `slow_s` delays each request in
    seconds before it is applied, so that a write takes effect even if its client has given up.
    `drop_answers` is the number of writes that are applied from now on without an answer. Above
    `limit_per_s` requests in one second the answer is 429; 0 means no limit.

    `empty`, `stale` and `wrong` apply to the instance list: it returns no instances, the list at
    the time when the fault was set, or the given instances.
    """

    down: bool = False
    slow_s: float = 0.0
    drop_answers: int = 0
    limit_per_s: float = 0.0
    empty: bool = False
    stale: bool = False
    wrong: list[dict[str, str]] | None = None
