"""Load reports that a sidecar sends to entry instances."""

import logging
from collections.abc import Callable

from cassiadrum.decisions import EndpointScheduler
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import EndpointLoad
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links.messages import Report
from cassiadrum.roles.entry_links import EntryLinks
from cassiadrum.roles.sidecar_messages import LoadChanged

__all__ = ["LoadReporter"]

logger = logging.getLogger(__name__)

MAX_LOAD_AGE_S = 1e6


class LoadReporter:
    """Reporter of load, soon after a change and periodically without one.

    Code that changes the load sets `report_due`. `draining_since_s` is the monotonic time at which
    the drain was announced, None before.
    """

    def __init__(
        self,
        scheduler: EndpointScheduler,
        links: EntryLinks,
        ring: EventRing,
        clock: Callable[[], float],
    ) -> None:
        self.report_due = True
        self.draining_since_s: float | None = None
        self._scheduler = scheduler
        self._links = links
        self._ring = ring
        self._clock = clock
        self._load = EndpointLoad()
        self._load_measured_s = clock()
        self._reachable = True
        self._last_sent_s = 0.0

    def load_changed(self, msg: LoadChanged) -> None:
        """Store the load that the endpoint itself reported."""
        reachable = msg.load is not None
        if reachable != self._reachable:
            logger.info(
                "endpoint %s",
                "is reachable again" if reachable else "does not answer load requests",
            )
            kind = EventKind.ENDPOINT_RECOVERED if reachable else EventKind.ENDPOINT_FAILED
            self._ring.record(kind)
            self.report_due = True
        self._reachable = reachable
        if msg.load is not None:
            self.report_due = self.report_due or msg.load != self._load
            self._load = msg.load
            self._load_measured_s = msg.measured_s

    def announce_leaving(self) -> None:
        """Report at once to every entry instance that the endpoint takes no new work."""
        self.draining_since_s = self._clock()
        self.send()

    def send_when_due(self) -> None:
        """Send a report if the load changed or the last report is too old.

        REPORT_MIN_INTERVAL_S and REPORT_MAX_INTERVAL_S bound the time between two reports.
        """
        idle_s = self._clock() - self._last_sent_s
        changed = self.report_due and idle_s >= LIMITS.REPORT_MIN_INTERVAL_S
        if changed or idle_s >= LIMITS.REPORT_MAX_INTERVAL_S:
            self.send()

    def send(self) -> None:
        """Send a report on the link of every entry instance."""
        self._links.broadcast(self.report())
        self._last_sent_s = self._clock()
        self.report_due = False

    def report(self) -> Report:
        """Return the current report.

        Newly cached prompt prefixes are part of one report only. The limit is 0 while the endpoint
        cannot be reached.
        """
        load, self._load = self._load, self._load._replace(cached=())
        return Report(
            min(self._clock() - self._load_measured_s, MAX_LOAD_AGE_S),
            self._scheduler.running(),
            self._scheduler.waiting(),
            self._scheduler.limit if self._reachable else 0,
            list(load.models),
            list(load.adapters),
            self.draining_since_s is not None,
            load.tokens_per_s,
            list(load.cached),
            version=load.version,
        )
