"""Counter of the elementary steps of a data structure."""

__all__ = ["OperationCounter"]


class OperationCounter:
    """Counter of elementary steps, with which benchmarks check how cost grows with load."""

    def __init__(self) -> None:
        self.count = 0

    def add(self, steps: int) -> None:
        """Add `steps` to the count."""
        self.count += steps
