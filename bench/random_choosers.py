"""Random choice of the endpoint."""

import random

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["RandomChooser"]


class RandomChooser(DispatchCountingChooser):
    """Choose any endpoint with a free slot."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        return self._rng.choice(free)
