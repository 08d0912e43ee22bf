"""Faults that a test sets on a stand-in."""

from typing import NamedTuple

__all__ = ["Faults"]


class Faults(NamedTuple):
    """State the faults in force; the defaults are a service without faults.

    `down` answers 503 and applies nothing. `slow_s` delays each request, in seconds, before it
    is applied, so a client that gave up cannot stop the write. `drop_answers` is the number of
    next writes that are applied without an answer. `limit_per_s` is the number of requests
    answered in one second before 429, 0 for no limit.

    `empty`, `stale` and `wrong` concern the instance list: it answers with no instance, with the
    list as it was when the fault was set, or with the given instances.
    """

    down: bool = False
    slow_s: float = 0.0
    drop_answers: int = 0
    limit_per_s: float = 0.0
    empty: bool = False
    stale: bool = False
    wrong: list[dict[str, str]] | None = None
