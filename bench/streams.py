"""A request attempt that runs at a fake endpoint."""

from dataclasses import dataclass, field

from bench.calls import Call

__all__ = ["Stream"]


@dataclass(slots=True, eq=False)
class Stream:
    """Progress of one attempt.

    `start_step` is the engine's step count when decoding began, was resumed or was last accounted
    for; it is negative while the stream does not decode. `epoch` increases whenever a scheduled
    end becomes invalid. `gaps` maps the seconds between tokens to the number of tokens.
    `reported_tokens` is the number of tokens already sent to the entry instance.
    """

    call: Call
    request_id: str
    remaining: float
    prefill_tokens: float
    arrived_at_s: float
    produced: float = 0.0
    reported_tokens: float = 0.0
    start_step: float = -1.0
    paused_at_s: float = -1.0
    epoch: int = 0
    started_at_s: float | None = None
    gaps: dict[float, float] = field(default_factory=dict)

    def add_gap(self, gap_s: float, tokens: float) -> None:
        """Count `tokens` that each came `gap_s` seconds after the previous one."""
        self.gaps[gap_s] = self.gaps.get(gap_s, 0.0) + tokens
