"""Client side of the link protocol: attempts sent to sidecars and the messages they return."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping

from cassiadrum.decisions import EndpointReport, ExecutionStatus, Outcome
from cassiadrum.links import Link
from cassiadrum.links.messages import (
    Ack,
    Attach,
    Cancel,
    CrashReport,
    Data,
    End,
    Head,
    Hello,
    RejectStart,
    Report,
)
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.router_messages import ReceivedMessage
from cassiadrum.roles.sidecar_links import SidecarLinks
from cassiadrum.roles.start_messages import start_message

__all__ = ["AttemptEvents", "SidecarClient"]

# Sidecars that pass on a message to all other entry instances; one of them may just have failed.
RELAYING_SIDECARS = 3


class AttemptEvents(ABC):
    """Callbacks for the messages of sidecars."""

    @abstractmethod
    def sidecar_connected(self, instance: str, restarted: bool) -> None:
        """Handle a new link; if the sidecar has restarted, its earlier attempts are lost."""

    @abstractmethod
    def sidecar_disconnected(self, instance: str) -> None:
        """Handle the loss of the link to a sidecar."""

    @abstractmethod
    def load_reported(self, rep: EndpointReport, cached: Collection[int]) -> None:
        """Handle a load report and the keys of prompt prefixes that the endpoint cached."""

    @abstractmethod
    def crashes_reported(self, report: CrashReport) -> None:
        """Handle what a sidecar tells of endpoints that ended as they began answers."""

    @abstractmethod
    def head_received(self, head: Head) -> None:
        """Handle status and headers of an answer."""

    @abstractmethod
    def data_received(self, attempt_id: str, position: int, data: bytes) -> None:
        """Handle bytes of an answer that begin at `position`."""

    @abstractmethod
    def attempt_ended(self, attempt_id: str, position: int, outcome: Outcome) -> bool:
        """Handle the end of an answer of `position` bytes; return whether the attempt is known."""

    @abstractmethod
    def attempt_rejected(self, attempt_id: str, reason: str, retry_after_s: float) -> None:
        """Handle an attempt that the sidecar did not start or does not know."""


class SidecarClient:
    """Client that sends attempts to sidecars and passes their messages to `events`."""

    def __init__(self, events: AttemptEvents, clock: Callable[[], float]) -> None:
        self._events = events
        self._clock = clock
        self._links = SidecarLinks()

    @property
    def links(self) -> Mapping[str, Link]:
        """Return the current link of each sidecar."""
        return self._links.by_instance

    def start(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Send an attempt to its sidecar; return False when there is no link to it."""
        link = self._links.by_instance.get(attempt.instance)
        if link is None:
            return False
        link.send(start_message(pending, attempt.attempt_id, self._clock()))
        return True

    def relay_crashes(self, report: CrashReport) -> None:
        """Have some sidecars pass on what this instance tells the other entry instances."""
        for link in list(self._links.by_instance.values())[:RELAYING_SIDECARS]:
            link.send(report)

    def cancel(self, attempt: Attempt) -> None:
        """Ask the sidecar to cancel an attempt."""
        self._links.send(attempt.instance, Cancel(attempt.attempt_id))

    def acknowledge(self, attempt: Attempt, position: int) -> None:
        """Acknowledge the bytes of an answer before `position`."""
        attempt.acknowledged = position
        self._links.send(attempt.instance, Ack([(attempt.attempt_id, position)]))

    def request_resend(self, attempt: Attempt) -> None:
        """Ask the sidecar to send the answer again from the attempt's position on."""
        self._links.send(attempt.instance, Attach(attempt.attempt_id, attempt.position))

    def reattach(self, attempt: Attempt) -> None:
        """Continue an attempt on a new link."""
        age_s = self._clock() - attempt.started_s
        self._links.send(
            attempt.instance, Attach(attempt.attempt_id, attempt.position, age_s=age_s)
        )
        # If the acknowledgement was lost with the old link, a full buffer would stay blocked.
        self.acknowledge(attempt, attempt.acknowledged)

    def set_usable(self, instance: str, usable: bool) -> EndpointReport | None:
        """Permit or forbid new work for a sidecar; return its report marked as leaving, if any."""
        return self._links.set_usable(instance, usable, self._clock())

    def forget(self, instance: str) -> None:
        """Drop all state of a sidecar that has left or is no longer linked."""
        self._links.forget(instance)

    def link_down(self, link: Link) -> None:
        """Handle the end of a link."""
        instance = self._links.link_down(link)
        if instance:
            self._events.sidecar_disconnected(instance)

    def handle(self, message: ReceivedMessage) -> None:
        """Handle a message of a sidecar."""
        link, msg = message
        if link.peer is None:
            return
        if isinstance(msg, Hello):
            self._events.sidecar_connected(msg.instance, self._links.link_up(link, msg))
        elif isinstance(msg, Report):
            self._handle_report(link, link.peer, msg)
        elif isinstance(msg, Head):
            self._events.head_received(msg)
        elif isinstance(msg, Data):
            self._handle_data(msg)
        elif isinstance(msg, End):
            if not self._events.attempt_ended(msg.attempt_id, msg.position, _outcome(msg)):
                # A draining sidecar waits until its answers are acknowledged.
                link.send(Ack([(msg.attempt_id, msg.position)]))
        elif isinstance(msg, CrashReport):
            self._events.crashes_reported(msg)
        elif isinstance(msg, RejectStart):
            self._events.attempt_rejected(msg.attempt_id, msg.reason, msg.retry_after_s)

    def _handle_data(self, msg: Data) -> None:
        for attempt_id, position, data in msg.parts:
            self._events.data_received(attempt_id, position, data)

    def _handle_report(self, link: Link, peer: Hello, msg: Report) -> None:
        if self._links.is_current(link):
            self._events.load_reported(
                self._links.store_report(peer, msg, self._clock()), msg.cached
            )


def _outcome(msg: End) -> Outcome:
    ran = ExecutionStatus(msg.ran) if msg.ran in set(ExecutionStatus) else ExecutionStatus.UNKNOWN
    return Outcome(msg.ok, ran, msg.tokens, msg.reason, msg.retry_after_s, msg.final)
