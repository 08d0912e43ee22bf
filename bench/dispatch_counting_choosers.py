"""Base class of the choosers of the plain strategies."""

from abc import abstractmethod
from collections.abc import Collection

from cassiadrum.decisions import EndpointChooser, EndpointReport, QueuedRequest

__all__ = ["DispatchCountingChooser"]


class DispatchCountingChooser(EndpointChooser):
    """Tracks the last report and the own dispatches of each endpoint.

    A subclass picks one of the endpoints that have a free slot.
    """

    def __init__(self) -> None:
        self._reports: dict[str, EndpointReport] = {}
        self._outstanding: dict[str, set[str]] = {}
        # Endpoints that rejected work since their last report. Without this a rejected request
        # would be dispatched to the same endpoint again until its deadline.
        self._full: set[str] = set()

    def report(self, rep: EndpointReport, now: float) -> None:
        self._reports[rep.instance] = rep
        self._full.discard(rep.instance)
        self._outstanding.setdefault(rep.instance, set())

    def remove(self, instance: str) -> None:
        self._reports.pop(instance, None)
        self._outstanding.pop(instance, None)

    def dispatched(self, instance: str, req: QueuedRequest, now: float) -> None:
        if instance in self._outstanding:
            self._outstanding[instance].add(req.request_id)

    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> None:
        pass

    def finished(self, instance: str, request_id: str, ok: bool, now: float) -> None:
        if instance in self._outstanding:
            self._outstanding[instance].discard(request_id)

    def rejected(self, instance: str, request_id: str, now: float) -> None:
        self._full.add(instance)
        self.finished(instance, request_id, True, now)

    def observe_cached_prefixes(self, instance: str, keys: Collection[int], now: float) -> None:
        pass

    def choose(self, req: QueuedRequest, now: float, exclude: Collection[str] = ()) -> str | None:
        free = [
            name
            for name in self.available_instances()
            if name not in exclude and self.free(name) > 0
        ]
        return self.pick(free, req) if free else None

    def free_slots(self) -> int:
        return sum(self.free(name) for name in self.available_instances())

    def available_instances(self) -> list[str]:
        return sorted(name for name, rep in self._reports.items() if not rep.leaving)

    def free(self, name: str) -> int:
        """Return the slots of an endpoint that this entry instance's requests do not occupy."""
        if name in self._full:
            return 0
        return max(0, self._reports[name].limit - len(self._outstanding[name]))

    @abstractmethod
    def pick(self, free: list[str], req: QueuedRequest) -> str:
        """Return one of the endpoints with a free slot."""
