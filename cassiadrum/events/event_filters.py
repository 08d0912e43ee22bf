"""Filter that selects events of a timeline."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.events import Event
from cassiadrum.events.timelines import Timeline

__all__ = ["EventFilter"]


class EventFilter(NamedTuple):
    """The fields that an event must match; an empty field matches all events.

    `since_s` (inclusive) and `until_s` (exclusive) are in seconds since the epoch.
    """

    request_id: str = ""
    service: str = ""
    class_name: str = ""
    instance: str = ""
    kinds: frozenset[EventKind] = frozenset()
    since_s: float | None = None
    until_s: float | None = None

    def matches(self, event: Event) -> bool:
        """Return whether the event is selected."""
        return (
            self.request_id in ("", event.request_id)
            and self.service in ("", event.service)
            and self.class_name in ("", event.class_name)
            and self.instance in ("", event.instance)
            and (not self.kinds or event.kind in self.kinds)
            and (self.since_s is None or event.hlc.seconds >= self.since_s)
            and (self.until_s is None or event.hlc.seconds < self.until_s)
        )

    def apply(self, events: Iterable[Event]) -> list[Event]:
        """Return the selected events in the given order."""
        return [event for event in events if self.matches(event)]

    def select(self, timeline: Timeline) -> Timeline:
        """Return a timeline of the selected events and the gaps of the selected instances.

        The other fields do not filter gaps, since the missing events might match them.
        """
        gaps = [gap for gap in timeline.gaps if self.instance in ("", gap.instance)]
        return Timeline(self.apply(timeline.events), gaps)
