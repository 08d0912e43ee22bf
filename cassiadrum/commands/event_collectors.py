"""Collector for the events of all processes in the instance list."""

from typing import Any

from cassiadrum.commands.fleets import get_from_all, list_instances
from cassiadrum.commands.platforms import Platform
from cassiadrum.events import Event, EventError, Timeline, decode_event, merge_events

__all__ = ["EventCollector"]


class EventCollector:
    """Reader of the event buffers of all processes; `collect` returns each event only once.

    `silent` lists the instances that did not answer the last `collect`, `answered_start_ids` the
    start ids of the processes that have answered so far.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._positions: dict[str, int] = {}
        self._start_ids: dict[str, str] = {}
        self.silent: list[str] = []
        self.answered_start_ids: set[str] = set()

    async def collect(self) -> list[Event]:
        """Return the events recorded since the last call.

        Raises CommandError if the instance list cannot be read.
        """
        self.silent = []
        events: list[Event] = []
        pending = {item.instance: item for item in await list_instances(self._platform)}
        while pending:
            targets = {
                name: f"/admin/events?after={self._positions.get(name, 0)}" for name in pending
            }
            answers = await get_from_all(pending.values(), targets)
            for name, answer in answers.items():
                if answer is None:
                    self.silent.append(name)
                if answer is None or self._add_answer(name, answer, events):
                    del pending[name]
        return events

    async def timeline(self) -> Timeline:
        """Return the new events merged into one timeline; raise CommandError as `collect` does."""
        events = await self.collect()
        return merge_events(events, self.answered_start_ids)

    def _add_answer(self, name: str, answer: dict[str, Any], events: list[Event]) -> bool:
        """Add the events of an answer and return whether it is the last page.

        A process with a malformed answer counts as silent.
        """
        try:
            return self._add_page(name, answer, events)
        except (EventError, KeyError, TypeError, ValueError):
            self.silent.append(name)
            return True

    def _add_page(self, name: str, answer: dict[str, Any], events: list[Event]) -> bool:
        """Add the events of a valid answer and return whether it is the last page."""
        start_id, last = str(answer["start_id"]), int(answer["last"])
        if self._start_ids.get(name, start_id) != start_id:
            # The process was restarted, so its sequence numbers start from the beginning.
            self._start_ids[name], self._positions[name] = start_id, 0
            return False
        self._start_ids[name] = start_id
        self.answered_start_ids.add(start_id)
        page = [decode_event(plain) for plain in answer["events"]]
        events += page
        if page:
            self._positions[name] = page[-1].sequence
        return not page or page[-1].sequence >= last
