"""One stream in the stand-in engine."""

import asyncio

from cassiadrum.standins.run_records import RunRecord

__all__ = ["EngineStream"]


class EngineStream:
    """Hold the state of one completion; the engine's step loop moves it on.

    `prefill_left` counts steps until the first token. A lower `priority` is served first.
    """

    def __init__(
        self,
        request_id: str,
        priority: int,
        tokens: list[str],
        position: int,
        prefill_left: int,
        run: RunRecord,
    ) -> None:
        self.request_id = request_id
        self.priority = priority
        self.tokens = tokens
        self.position = position
        self.prefill_left = prefill_left
        self.run = run
        self.paused = False
        self.cancelled = False
        self.output: asyncio.Queue[str | None] = asyncio.Queue()

    @property
    def done(self) -> bool:
        """Tell whether no token is left to compute."""
        return self.cancelled or self.position >= len(self.tokens)

    def step(self) -> None:
        """Compute one step."""
        if self.prefill_left > 0:
            self.prefill_left -= 1
            return
        self.output.put_nowait(self.tokens[self.position])
        self.position += 1
        self.run["tokens"] += 1
        if self.done:
            self.output.put_nowait(None)

    def cancel(self) -> None:
        """End the stream without the rest of its tokens."""
        self.cancelled = True
        self.output.put_nowait(None)
