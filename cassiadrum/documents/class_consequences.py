"""Consequences of a service document for the requests of one class."""

from typing import NamedTuple

__all__ = ["ClassConsequences"]


class ClassConsequences(NamedTuple):
    """Text on how requests of a class are matched, ordered, retried, hedged and cancelled.

    `place` is the position of the class in the order of service, counted from 1.
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
