"""Times in which faults affected the gateways of a soak."""

import contextlib
import time
from collections.abc import Iterator

from cassiadrum.tests.gateways.conftest import GatewaySubprocess

__all__ = ["Disturbances"]


class _Span:
    """A span of monotonic seconds, without an end while the fault lasts."""

    def __init__(self) -> None:
        self.begin_s = time.monotonic()
        self.end_s = float("inf")


class Disturbances:
    """The times in which one kind of fault affected each gateway."""

    def __init__(self) -> None:
        self._spans: dict[GatewaySubprocess, list[_Span]] = {}

    @contextlib.contextmanager
    def record(self, run: GatewaySubprocess) -> Iterator[None]:
        """Record that the context affects a gateway."""
        span = _Span()
        self._spans.setdefault(run, []).append(span)
        try:
            yield
        finally:
            span.end_s = time.monotonic()

    def overlap(self, run: GatewaySubprocess, begin_s: float, end_s: float) -> bool:
        """Return whether a gateway was affected between two times in monotonic seconds."""
        spans = self._spans.get(run, ())
        return any(span.begin_s <= end_s and span.end_s >= begin_s for span in spans)
