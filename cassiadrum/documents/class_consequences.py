"""What a document means for the requests of one class."""

from typing import NamedTuple

__all__ = ["ClassConsequences"]


class ClassConsequences(NamedTuple):
    """State in words how requests of a class are chosen, served, repeated and ended.

    `place` is the position in the order of service, counted from 1.
    """

    name: str
    place: int
    requests: str
    order: str
    overload: str
    waiting: str
    repeats: str
    hedges: str
    caller_leaves: str
    target: str
