"""Choice by the load that endpoints reported."""

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["ReportedLoadChooser"]


class ReportedLoadChooser(DispatchCountingChooser):
    """Choose the endpoint with the least work in its last report, however old that is."""

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        return min(free, key=self._reported)

    def _reported(self, name: str) -> tuple[int, str]:
        rep = self._reports[name]
        return rep.running + rep.queued, name
