"""Random endpoint choice."""

import random

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["RandomChooser"]


class RandomChooser(DispatchCountingChooser):
    """Chooses uniformly among the endpoints with a free slot."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        return self._rng.choice(free)
