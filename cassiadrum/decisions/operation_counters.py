"""Counter of the work that a data structure does."""

__all__ = ["OperationCounter"]


class OperationCounter:
    """Count elementary steps, so that a benchmark can check how they grow with the load."""

    def __init__(self) -> None:
        self.count = 0

    def add(self, steps: int) -> None:
        """Count `steps` more steps."""
        self.count += steps
