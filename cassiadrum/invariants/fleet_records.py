"""Record of a fleet that the rules check."""

from typing import NamedTuple

from cassiadrum.documents import RequestClass, ServiceDocument
from cassiadrum.events import Timeline
from cassiadrum.invariants.caller_outcomes import CallerOutcome
from cassiadrum.invariants.endpoint_runs import EndpointRun
from cassiadrum.invariants.outages import Outage

__all__ = ["FleetRecord"]


class FleetRecord(NamedTuple):
    """Merged events, callers' outcomes, endpoints' runs and service documents of a fleet.

    The record must be taken while no request is in flight. `killed` names the instances that were
    killed without a planned stop; only these may leave requests without a recorded end.
    """

    timeline: Timeline
    callers: tuple[CallerOutcome, ...] = ()
    runs: tuple[EndpointRun, ...] = ()
    documents: tuple[ServiceDocument, ...] = ()
    killed: frozenset[str] = frozenset()
    outages: tuple[Outage, ...] = ()

    @property
    def missing_events(self) -> int:
        """Return the number of events known to be lost; if above 0, some checks are incomplete."""
        return sum(gap.missing for gap in self.timeline.gaps)

    def class_index(self) -> dict[tuple[str, str], RequestClass]:
        """Return the classes of all documents by service and class name."""
        return {(doc.name, cls.name): cls for doc in self.documents for cls in doc.classes}

    def request_class(self, service: str, class_name: str) -> RequestClass | None:
        """Return the class of a request, or None if the documents do not define it."""
        for document in self.documents:
            if document.name == service:
                return document.find_class(class_name)
        return None
