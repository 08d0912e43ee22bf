"""The record of several processes in one order."""

from typing import NamedTuple

from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap

__all__ = ["Timeline"]


class Timeline(NamedTuple):
    """Hold events with causes before effects, and the gaps between them."""

    events: list[Event]
    gaps: list[Gap]
