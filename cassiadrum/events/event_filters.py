"""Selection of events."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.events import Event
from cassiadrum.events.timelines import Timeline

__all__ = ["EventFilter"]


class EventFilter(NamedTuple):
    """Select events; an empty field selects all.

    `since_s` and `until_s` are seconds since the epoch; `until_s` is excluded.
    """

    request_id: str = ""
    service: str = ""
    class_name: str = ""
    instance: str = ""
    kinds: frozenset[EventKind] = frozenset()
    since_s: float | None = None
    until_s: float | None = None

    def matches(self, event: Event) -> bool:
        """Tell whether the event is selected."""
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
        """Return the selected events in their order."""
        return [event for event in events if self.matches(event)]

    def select(self, timeline: Timeline) -> Timeline:
        """Return the selected events with the gaps of the selected instances.

        Gaps are kept whatever the other fields are, since the missing events might be selected.
        """
        gaps = [gap for gap in timeline.gaps if self.instance in ("", gap.instance)]
        return Timeline(self.apply(timeline.events), gaps)
