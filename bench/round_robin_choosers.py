"""Round-robin endpoint choice."""

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["RoundRobinChooser"]


class RoundRobinChooser(DispatchCountingChooser):
    """Chooses the next endpoint with a free slot in order of names."""

    def __init__(self) -> None:
        super().__init__()
        self._last = ""

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        self._last = next((name for name in free if name > self._last), free[0])
        return self._last
