"""Merged events of several processes."""

from typing import NamedTuple

from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap

__all__ = ["Timeline"]


class Timeline(NamedTuple):
    """Events of several processes in causal order, and the gaps in them."""

    events: list[Event]
    gaps: list[Gap]
