"""Run the benchmarks and check their bounds."""

import sys
import tomllib
from itertools import pairwise
from pathlib import Path

from cassiadrum.decisions import QueuedRequest, StrictTierQueue

BOUNDS = Path(__file__).with_name("bounds.toml")


def tier_inversions(requests: int) -> int:
    """Count dispatches of a lower tier while a higher one waits."""
    queue = StrictTierQueue(capacity=requests)
    for index in range(requests):
        queue.push(QueuedRequest(str(index), "svc", "cls", index * 7 % 5, False, "c", 0.0), 0.0)
    tiers = [req.tier for _ in range(requests) if (req := queue.pop(0.0))]
    return sum(later < earlier for earlier, later in pairwise(tiers))


def main() -> int:
    """Print each figure beside its bound; return 1 when a bound is missed."""
    bounds = tomllib.loads(BOUNDS.read_text())
    inversions = tier_inversions(1000)
    bound = bounds["tier_inversions"]["max"]
    print(f"tier_inversions {inversions} (bound {bound})")
    return 0 if inversions <= bound else 1


if __name__ == "__main__":
    sys.exit(main())
