"""The work at one process, followed through its events."""

from typing import Final

from cassiadrum.events import REQUEST_END_KINDS, Event, EventKind

__all__ = ["CALLER_LEFT", "HEDGE_LOST", "PREEMPTED", "RequestStates", "ends_request"]

# Reasons of `cancelled`.
CALLER_LEFT: Final = "caller_left"
HEDGE_LOST: Final = "hedge_lost"
PREEMPTED: Final = "preempted"


def ends_request(event: Event) -> bool:
    """Tell whether the request ends with the event in the process that recorded it.

    At an entry instance a sidecar's reject or a lost hedge ends an attempt, not the request.
    """
    if event.role != "entry":
        return event.kind in REQUEST_END_KINDS
    if event.kind is EventKind.CANCELLED:
        return event.fields.get("reason") != HEDGE_LOST
    return event.kind in REQUEST_END_KINDS and event.kind is not EventKind.REJECTED


class RequestStates:
    """Hold which requests wait, run and are paused, each by id with the event of the change."""

    def __init__(self) -> None:
        self.waiting: dict[str, Event] = {}
        self.running: dict[str, Event] = {}
        self.paused: dict[str, Event] = {}

    def apply(self, event: Event) -> None:
        """Move the request of the event; events of other kinds change nothing."""
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
