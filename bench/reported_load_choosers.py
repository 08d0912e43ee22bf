"""Endpoint choice by reported load."""

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["ReportedLoadChooser"]


class ReportedLoadChooser(DispatchCountingChooser):
    """Chooses the endpoint with the fewest requests in its last report, whatever its age."""

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        return min(free, key=self._reported)

    def _reported(self, name: str) -> tuple[int, str]:
        rep = self._reports[name]
        return rep.running + rep.queued, name
