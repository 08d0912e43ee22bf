"""Events of all processes of the instance list."""

from typing import Any

from cassiadrum.commands.fleets import ask_all, list_instances
from cassiadrum.commands.platforms import Platform
from cassiadrum.events import Event, EventError, Timeline, decode_event, merge_events

__all__ = ["EventCollector"]


class EventCollector:
    """Read the rings of the processes; each `collect` returns what was recorded since the last.

    `silent` names the instances that did not answer, `alive` the start ids of those that did.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._positions: dict[str, int] = {}
        self._starts: dict[str, str] = {}
        self.silent: list[str] = []
        self.alive: set[str] = set()

    async def collect(self) -> list[Event]:
        """Return the new events of all processes; raise CommandError without a list."""
        self.silent = []
        events: list[Event] = []
        pending = {item.instance: item for item in await list_instances(self._platform)}
        while pending:
            targets = {
                name: f"/admin/events?after={self._positions.get(name, 0)}" for name in pending
            }
            answers = await ask_all(pending.values(), targets)
            for name, answer in answers.items():
                if answer is None:
                    self.silent.append(name)
                if answer is None or self._take_page(name, answer, events):
                    del pending[name]
        return events

    async def timeline(self) -> Timeline:
        """Return what is recorded now as one timeline; raise CommandError."""
        events = await self.collect()
        return merge_events(events, self.alive)

    def _take_page(self, name: str, answer: dict[str, Any], events: list[Event]) -> bool:
        """Add the events of an answer; a process that sends anything else counts as silent."""
        try:
            return self._take(name, answer, events)
        except (EventError, KeyError, TypeError, ValueError):
            self.silent.append(name)
            return True

    def _take(self, name: str, answer: dict[str, Any], events: list[Event]) -> bool:
        """Add the events of an answer and tell whether it was the last page."""
        start_id, last = str(answer["start_id"]), int(answer["last"])
        if self._starts.get(name, start_id) != start_id:
            # The process was replaced; its sequence numbers began anew.
            self._starts[name], self._positions[name] = start_id, 0
            return False
        self._starts[name] = start_id
        self.alive.add(start_id)
        page = [decode_event(plain) for plain in answer["events"]]
        events += page
        if page:
            self._positions[name] = page[-1].sequence
        return not page or page[-1].sequence >= last
