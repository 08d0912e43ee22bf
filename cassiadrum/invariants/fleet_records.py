"""Everything that the rules judge."""

from typing import NamedTuple

from cassiadrum.documents import RequestClass, ServiceDocument
from cassiadrum.events import Timeline
from cassiadrum.invariants.caller_outcomes import CallerOutcome
from cassiadrum.invariants.endpoint_runs import EndpointRun
from cassiadrum.invariants.outages import Outage

__all__ = ["FleetRecord"]


class FleetRecord(NamedTuple):
    """Hold the merged events, what callers saw, what endpoints ran, and the documents.

    The record has to be taken when no request is in flight. `killed` names the instances that
    the experiment killed without a planned stop; only these may leave requests without an end.
    """

    timeline: Timeline
    callers: tuple[CallerOutcome, ...] = ()
    runs: tuple[EndpointRun, ...] = ()
    documents: tuple[ServiceDocument, ...] = ()
    killed: frozenset[str] = frozenset()
    outages: tuple[Outage, ...] = ()

    @property
    def missing_events(self) -> int:
        """Return how many events are known to be lost; above 0 some rules cannot judge fully."""
        return sum(gap.missing for gap in self.timeline.gaps)

    def class_index(self) -> dict[tuple[str, str], RequestClass]:
        """Return the classes of all documents by service and class name."""
        return {(doc.name, cls.name): cls for doc in self.documents for cls in doc.classes}

    def request_class(self, service: str, class_name: str) -> RequestClass | None:
        """Return the class of a request, or None when the documents do not name it."""
        for document in self.documents:
            if document.name == service:
                return document.named_class(class_name)
        return None
