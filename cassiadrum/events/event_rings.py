"""Ring buffer of the events of one process."""

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Any

from cassiadrum.defaults import LIMITS
from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.events import Event
from cassiadrum.events.hybrid_logical_clocks import HybridLogicalClock

__all__ = ["EventRing"]


class EventRing:
    """Ring buffer that keeps the newest `capacity` events of a process.

    `start_id` must be unique for each start of the process, so that readers can tell the sequence
    numbers of a restarted instance from those before the restart.
    """

    def __init__(
        self,
        clock: HybridLogicalClock,
        instance: str,
        role: str,
        start_id: str,
        capacity: int = LIMITS.EVENT_BUFFER_EVENTS,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._role = role
        self._start_id = start_id
        self._events: deque[Event] = deque(maxlen=capacity)
        self._sequence = 0
        # Called with each event after it has been appended.
        self.listener: Callable[[Event], None] | None = None

    def __len__(self) -> int:
        return len(self._events)

    @property
    def clock(self) -> HybridLogicalClock:
        """Return the clock that timestamps the events."""
        return self._clock

    @property
    def start_id(self) -> str:
        """Return the id of this process start; when it changes, readers must restart from 0."""
        return self._start_id

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the newest event, or 0 if there is none."""
        return self._sequence

    @property
    def overwritten_count(self) -> int:
        """Return the number of events that have been overwritten."""
        return self._sequence - len(self._events)

    def record(
        self,
        kind: EventKind,
        request_id: str = "",
        service: str = "",
        class_name: str = "",
        customer: str = "",
        **fields: Any,
    ) -> Event:
        """Append an event and return it; `fields` must hold plain values as defined by `Event`."""
        self._sequence += 1
        event = Event(
            self._clock.tick(),
            self._instance,
            self._role,
            kind,
            request_id,
            service,
            class_name,
            customer,
            fields,
            self._sequence,
            self._start_id,
        )
        self._events.append(event)
        if self.listener is not None:
            self.listener(event)
        return event

    def read_after(self, sequence: int, limit: int) -> list[Event]:
        """Return up to `limit` events with sequence numbers above `sequence`, oldest first.

        If the first event returned is above `sequence + 1`, those in between were overwritten.
        """
        skipped = max(sequence - self.overwritten_count, 0)
        return list(islice(self._events, skipped, skipped + limit))
