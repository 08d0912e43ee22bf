"""States of the requests at one process, derived from its events."""

from typing import Final

from cassiadrum.events import REQUEST_END_KINDS, Event, EventKind

__all__ = ["CALLER_LEFT", "HEDGE_LOST", "PREEMPTED", "RequestStates", "ends_request"]

# Values of the field `reason` of `cancelled`.
CALLER_LEFT: Final = "caller_left"
HEDGE_LOST: Final = "hedge_lost"
PREEMPTED: Final = "preempted"


def ends_request(event: Event) -> bool:
    """Return whether the event ends the request in the process that recorded it.

    At an entry instance, a rejection by a sidecar or a lost hedge ends only an attempt.
    """
    if event.role != "entry":
        return event.kind in REQUEST_END_KINDS
    if event.kind is EventKind.CANCELLED:
        return event.fields.get("reason") != HEDGE_LOST
    return event.kind in REQUEST_END_KINDS and event.kind is not EventKind.REJECTED


class RequestStates:
    """Waiting, running and paused requests by id, with the event that caused the state."""

    def __init__(self) -> None:
        self.waiting: dict[str, Event] = {}
        self.running: dict[str, Event] = {}
        self.paused: dict[str, Event] = {}

    def apply(self, event: Event) -> None:
        """Update the state of the request; events of other kinds have no effect."""
        request_id = event.request_id
        if event.kind is EventKind.QUEUED:
            self._remove(request_id)
            self.waiting[request_id] = event
        elif event.kind in (EventKind.STARTED, EventKind.RESUMED):
            self._remove(request_id)
            self.running[request_id] = event
        elif event.kind is EventKind.PAUSED:
            self._remove(request_id)
            self.paused[request_id] = event
        elif event.kind is EventKind.DISPATCHED or ends_request(event):
            self._remove(request_id)

    def _remove(self, request_id: str) -> None:
        for requests in (self.waiting, self.running, self.paused):
            requests.pop(request_id, None)
