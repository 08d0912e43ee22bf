"""Continuous batching in the stand-in engine."""

import asyncio
from collections import OrderedDict

from cassiadrum.standins.engine_streams import EngineStream

__all__ = ["EngineBatch"]

# Fraction by which each further stream in the batch lengthens a step.
STEP_GROWTH_PER_STREAM = 0.02
MAX_CACHED_PREFIXES = 256


class EngineBatch:
    """A batch of up to `max_batch` streams that computes one token for each per step.

    Streams with the lowest priority number are served first. A step takes `step_s` seconds with
    one stream, multiplied by `slow_factor`; while `stalled`, no step is computed.
    """

    def __init__(self, *, max_batch: int, step_s: float) -> None:
        self.max_batch = max_batch
        self.step_s = step_s
        self.slow_factor = 1.0
        self.stalled = False
        self.streams: dict[str, EngineStream] = {}
        self.steps = 0
        self.tokens = 0
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._wake = asyncio.Event()

    def add(self, stream: EngineStream) -> None:
        """Add a stream; it waits while streams with a better priority fill the batch."""
        self.streams[stream.request_id] = stream
        self._wake.set()

    def cache_prefix(self, key: int) -> bool:
        """Add a prefix to the cache, or refresh it, and return whether it was cached before."""
        cached = key in self._prefixes
        self._prefixes[key] = None
        self._prefixes.move_to_end(key)
        while len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return cached

    def active(self) -> list[EngineStream]:
        """Return the streams that the next step computes, best priority first."""
        ready = [stream for stream in self.streams.values() if not stream.paused]
        return sorted(ready, key=lambda stream: stream.priority)[: self.max_batch]

    async def run(self) -> None:
        """Compute steps until cancelled."""
        while True:
            batch = self.active()
            if not batch or self.stalled:
                self._wake.clear()
                await self._wait_for_work()
                continue
            growth = 1.0 + STEP_GROWTH_PER_STREAM * (len(batch) - 1)
            await asyncio.sleep(self.step_s * growth * self.slow_factor)
            for stream in batch:
                self._step(stream)
            self.steps += 1

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(0.05):
                await self._wake.wait()
        except TimeoutError:
            return

    def _step(self, stream: EngineStream) -> None:
        if not stream.done:
            before = stream.position
            stream.step()
            self.tokens += stream.position - before
        if stream.done:
            self.streams.pop(stream.request_id, None)
