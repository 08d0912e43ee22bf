"""One request of the benchmark and what became of it."""

from dataclasses import dataclass, field

from cassiadrum.decisions import QueuedRequest

__all__ = ["Call", "gap_percentile"]


@dataclass(slots=True, eq=False)
class Call:
    """Hold a request, the output length that strategies do not see, and its course.

    `work` is output tokens for a model service and seconds of service time for a plain one;
    `delivered` is the part of it that reached the caller. `owner` names the endpoint whose
    stream the caller reads, `served_at_s` is when an endpoint first started it.
    """

    req: QueuedRequest
    work: float
    entry: int = 0
    disconnects_at_s: float = float("inf")
    active_instance: str = ""
    delivered: float = 0.0
    first_token_at_s: float | None = None
    last_token_at_s: float | None = None
    served_at_s: float | None = None
    ended_at_s: float | None = None
    result: str = ""
    gaps: dict[float, float] = field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Tell whether the caller still waits for the end."""
        return self.ended_at_s is None

    def add_gaps(self, gaps: dict[float, float]) -> None:
        """Add the tokens of one attempt, by the seconds since the token before."""
        for gap_s, tokens in gaps.items():
            self.gaps[gap_s] = self.gaps.get(gap_s, 0.0) + tokens


def gap_percentile(gaps: dict[float, float], quantile: float) -> float:
    """Return the quantile of the seconds between a request's own tokens."""
    rank = quantile * sum(gaps.values())
    for gap_s in sorted(gaps):
        rank -= gaps[gap_s]
        if rank <= 1e-9:
            return gap_s
    return 0.0
