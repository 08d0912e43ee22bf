"""State of one completion in the stand-in engine."""

import asyncio

from cassiadrum.standins.run_records import RunRecord

__all__ = ["EngineStream"]


class EngineStream:
    """One completion, advanced by the steps of the engine.

    `prefill_left` is the number of steps before the first token; a lower `priority` is served
    first. Computed tokens are put into `output`, and None at the end.
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
        """Return whether no token is left to compute."""
        return self.cancelled or self.position >= len(self.tokens)

    def step(self) -> None:
        """Compute one prefill step or one token."""
        if self.prefill_left > 0:
            self.prefill_left -= 1
            return
        self.output.put_nowait(self.tokens[self.position])
        self.position += 1
        self.run["tokens"] += 1
        if self.done:
            self.output.put_nowait(None)

    def cancel(self) -> None:
        """End the stream without its remaining tokens."""
        self.cancelled = True
        self.output.put_nowait(None)
