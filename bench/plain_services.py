"""Fake plain service with fixed service times."""

from collections.abc import Callable

from bench.calls import Call
from bench.event_loops import EventLoop
from bench.streams import Stream

__all__ = ["FakePlainService"]


class FakePlainService:
    """Runs each call for its service time, independent of concurrent calls."""

    def __init__(self, loop: EventLoop, on_end: Callable[[Stream], None]) -> None:
        self._loop = loop
        self._on_end = on_end
        self.streams: dict[str, Stream] = {}
        self.new_keys: list[int] = []
        self.slowdown = 1.0
        self.produced = 0.0

    def start(self, call: Call, request_id: str) -> Stream:
        """Start a call."""
        stream = Stream(call, request_id, call.work, 0.0, self._loop.now)
        self.streams[request_id] = stream
        self._loop.call_later(call.work * self.slowdown, self._end, stream)
        return stream

    def pause(self, request_id: str) -> None:
        """Raise AssertionError: plain calls cannot be paused."""
        raise AssertionError(f"plain service was told to pause request {request_id}")

    def resume(self, request_id: str) -> None:
        """Raise AssertionError: plain calls cannot be resumed."""
        raise AssertionError(f"plain service was told to resume request {request_id}")

    def cancel(self, request_id: str) -> Stream | None:
        """Abort a call and return its stream, or None if it does not run here."""
        stream = self.streams.pop(request_id, None)
        if stream is not None:
            stream.produced = (self._loop.now - stream.arrived_at_s) / self.slowdown
        return stream

    def crash(self) -> list[Stream]:
        """Abort all calls and return their streams."""
        return [stream for key in list(self.streams) if (stream := self.cancel(key))]

    def slow_down(self, factor: float) -> None:
        """Multiply the service time of calls that start from now on by `factor`."""
        self.slowdown = factor

    def update_progress(self) -> None:
        """Do nothing: a plain call reports no progress before its end."""

    def _end(self, stream: Stream) -> None:
        if self.streams.get(stream.request_id) is not stream:
            return
        del self.streams[stream.request_id]
        stream.produced = stream.call.work
        self.produced += stream.produced
        self._on_end(stream)
