"""A simulated request and its progress."""

from dataclasses import dataclass, field

from cassiadrum.decisions import QueuedRequest

__all__ = ["Call", "gap_percentile"]


@dataclass(slots=True, eq=False)
class Call:
    """A request, its output length, which strategies do not see, and its progress.

    `work` is the number of output tokens for a model service and the service time in seconds for
    a plain one; `delivered` is the part of it that reached the caller. `active_instance` is the
    instance whose stream the caller reads, empty without one. `served_at_s` is the time at which
    an endpoint first started the request. `gaps` maps the seconds between tokens to the number
    of tokens.
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
        """Whether the caller still waits for the end of the answer."""
        return self.ended_at_s is None

    def add_gaps(self, gaps: dict[float, float]) -> None:
        """Add the tokens of one attempt, by the seconds since the previous token."""
        for gap_s, tokens in gaps.items():
            self.gaps[gap_s] = self.gaps.get(gap_s, 0.0) + tokens


def gap_percentile(gaps: dict[float, float], quantile: float) -> float:
    """Return the quantile of the seconds between a request's tokens, weighted by tokens."""
    rank = quantile * sum(gaps.values())
    for gap_s in sorted(gaps):
        rank -= gaps[gap_s]
        if rank <= 1e-9:
            return gap_s
    return 0.0
