"""Fake engine with continuous batching."""

import heapq
from bisect import bisect_right
from collections.abc import Callable

from bench.calls import Call
from bench.engine_profiles import EngineProfile
from bench.event_loops import EventLoop
from bench.prefix_caches import PrefixCache
from bench.streams import Stream

__all__ = ["FakeEngine"]


class FakeEngine:
    """Decodes all running streams in steps whose duration grows with the batch size.

    Between two events all steps have the same duration, so the engine counts steps as a real
    number and schedules events only for the ends of prefills and of streams.
    """

    def __init__(
        self,
        loop: EventLoop,
        profile: EngineProfile,
        on_first: Callable[[Stream], None],
        on_end: Callable[[Stream], None],
    ) -> None:
        self._loop = loop
        self._profile = profile
        self._on_first = on_first
        self._on_end = on_end
        self._steps = 0.0
        self._advanced_at_s = 0.0
        self._epoch = 0
        self._decoding: dict[str, Stream] = {}
        self._prefills: list[tuple[int, int, Stream]] = []
        self._ends: list[tuple[float, int, int, Stream]] = []
        self._sequence = 0
        self._interval_starts: list[float] = [0.0]
        self._interval_gaps_s: list[float] = [0.0]
        self.streams: dict[str, Stream] = {}
        self.cache = PrefixCache(profile.cache_blocks)
        self.new_keys: list[int] = []
        self.slowdown = 1.0
        self.produced = 0.0
        self.prefilled_tokens = 0.0

    def start(self, call: Call, request_id: str) -> Stream:
        """Start a request; a resumed request continues after the text already delivered."""
        found, added = self.cache.use(call.req.prefix_keys)
        self.new_keys += added
        cached = found * self._profile.chunk_tokens
        tokens = max(1.0, call.req.prompt_tokens - cached + call.delivered)
        self.prefilled_tokens += tokens
        stream = Stream(call, request_id, call.work - call.delivered, tokens, self._loop.now)
        self.streams[request_id] = stream
        self._queue_prefill(stream)
        return stream

    def pause(self, request_id: str) -> None:
        """Pause a stream; its KV cache is kept."""
        self._advance()
        stream = self.streams[request_id]
        self._update_stream(stream)
        stream.paused_at_s = self._loop.now
        self._unschedule(stream)
        self._schedule()

    def resume(self, request_id: str) -> None:
        """Resume a paused stream."""
        stream = self.streams[request_id]
        if stream.started_at_s is None:
            stream.paused_at_s = -1.0
            self._queue_prefill(stream)
            return
        self._advance()
        stream.add_gap(self._loop.now - stream.paused_at_s, 1.0)
        stream.paused_at_s = -1.0
        self._decode(stream)
        self._schedule()

    def cancel(self, request_id: str) -> Stream | None:
        """Abort a request and return its stream, or None if it does not run here."""
        stream = self.streams.get(request_id)
        if stream is None:
            return None
        self._advance()
        self._update_stream(stream)
        self._unschedule(stream)
        del self.streams[request_id]
        self._schedule()
        return stream

    def crash(self) -> list[Stream]:
        """Abort all streams, clear the cache and return the streams."""
        lost = [stream for key in list(self.streams) if (stream := self.cancel(key))]
        self.cache.clear()
        return lost

    def slow_down(self, factor: float) -> None:
        """Multiply the duration of every step by `factor`."""
        self._advance()
        self.slowdown = factor
        self._schedule()

    def update_progress(self) -> None:
        """Update the token counts of all streams to the current time."""
        self._advance()
        for stream in self._decoding.values():
            self._update_stream(stream)

    def step_s(self) -> float:
        """Return the duration of the current step in seconds."""
        step_s = self._profile.step_s(len(self._decoding), bool(self._prefills))
        return step_s * self.slowdown

    def _queue_prefill(self, stream: Stream) -> None:
        self._advance()
        self._sequence += 1
        heapq.heappush(self._prefills, (stream.call.req.tier, self._sequence, stream))
        self._schedule()

    def _decode(self, stream: Stream) -> None:
        stream.epoch += 1
        stream.start_step = self._steps
        self._decoding[stream.request_id] = stream
        self._sequence += 1
        end = self._steps + stream.remaining
        heapq.heappush(self._ends, (end, self._sequence, stream.epoch, stream))

    def _unschedule(self, stream: Stream) -> None:
        stream.epoch += 1
        stream.start_step = -1.0
        self._decoding.pop(stream.request_id, None)
        kept = [item for item in self._prefills if item[2] is not stream]
        if len(kept) < len(self._prefills):
            heapq.heapify(kept)
            self._prefills = kept

    def _update_stream(self, stream: Stream) -> None:
        """Add the tokens of the steps since the last update to a decoding stream."""
        if stream.start_step < 0:
            return
        first, last = stream.start_step, self._steps
        steps, gaps = self._interval_starts, stream.gaps
        for index in range(bisect_right(steps, first) - 1, len(steps)):
            end = steps[index + 1] if index + 1 < len(steps) else last
            gap_s = self._interval_gaps_s[index]
            gaps[gap_s] = gaps.get(gap_s, 0.0) + end - first
            first = end
        tokens = min(self._steps - stream.start_step, stream.remaining)
        stream.produced += tokens
        stream.remaining -= tokens
        self.produced += tokens
        stream.start_step = self._steps

    def _advance(self) -> None:
        elapsed_s = self._loop.now - self._advanced_at_s
        self._advanced_at_s = self._loop.now
        if elapsed_s <= 0 or not (self._decoding or self._prefills):
            return
        step_s = self.step_s()
        if self._interval_gaps_s[-1] != step_s:
            self._interval_starts.append(self._steps)
            self._interval_gaps_s.append(step_s)
        steps = elapsed_s / step_s
        self._steps += steps
        if self._prefills:
            self._prefills[0][2].prefill_tokens -= steps * self._profile.chunk_tokens

    def _schedule(self) -> None:
        self._epoch += 1
        while self._ends and self._ends[0][2] != self._ends[0][3].epoch:
            heapq.heappop(self._ends)
        steps = self._ends[0][0] - self._steps if self._ends else float("inf")
        if self._prefills:
            left = self._prefills[0][2].prefill_tokens / self._profile.chunk_tokens
            steps = min(steps, left)
        if steps != float("inf"):
            self._loop.call_later(
                max(0.0, steps) * self.step_s(), self._process_due_events, self._epoch
            )

    def _process_due_events(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        while self._prefills and self._prefills[0][2].prefill_tokens <= 1e-6:
            stream = heapq.heappop(self._prefills)[2]
            stream.started_at_s = self._loop.now
            self._decode(stream)
            self._on_first(stream)
        ended = []
        while self._ends and self._ends[0][0] <= self._steps + 1e-6:
            _, _, stream_epoch, stream = heapq.heappop(self._ends)
            if stream_epoch == stream.epoch:
                ended.append(stream)
        for stream in ended:
            self._update_stream(stream)
            self._unschedule(stream)
            del self.streams[stream.request_id]
        self._schedule()
        for stream in ended:
            self._on_end(stream)
