"""Choice of the endpoint with the fewest outstanding requests."""

from collections.abc import Collection

from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["LeastOutstandingChooser"]


class LeastOutstandingChooser(EndpointChooser):
    """Chooser that counts only the outstanding requests of this entry instance."""

    def __init__(self) -> None:
        self._reports: dict[str, EndpointReport] = {}
        self._running: dict[str, set[str]] = {}

    def report(self, rep: EndpointReport, now: float) -> None:
        """Apply a load report."""
        self._reports[rep.instance] = rep
        self._running.setdefault(rep.instance, set())

    def remove(self, instance: str) -> None:
        """Remove an endpoint."""
        self._reports.pop(instance, None)
        self._running.pop(instance, None)

    def dispatched(self, instance: str, req: QueuedRequest, now: float) -> None:
        """Count a dispatch."""
        if instance in self._running:
            self._running[instance].add(req.request_id)

    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> None:
        """Ignore progress, since this strategy only counts requests."""

    def finished(self, instance: str, request_id: str, ok: bool, now: float) -> None:
        """Count the end of an attempt."""
        if instance in self._running:
            self._running[instance].discard(request_id)

    def observe_cached_prefixes(self, instance: str, keys: Collection[int], now: float) -> None:
        """Ignore cached prefixes, since this strategy has no prefix affinity."""

    def choose(self, req: QueuedRequest, now: float, exclude: Collection[str] = ()) -> str | None:
        """Return the least loaded instance with a free slot."""
        free = [
            name
            for name in self.available_instances()
            if name not in exclude and self._free_slots(name) > 0
        ]
        return min(free, key=lambda name: (len(self._running[name]), name), default=None)

    def free_slots(self) -> int:
        """Return the number of free slots of all endpoints."""
        return sum(self._free_slots(name) for name in self.available_instances())

    def available_instances(self) -> Collection[str]:
        """Return the endpoints that are not leaving."""
        return [name for name, rep in self._reports.items() if not rep.leaving]

    def _free_slots(self, name: str) -> int:
        return max(0, self._reports[name].limit - len(self._running[name]))
