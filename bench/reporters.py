"""Load reports and cache events of a simulated sidecar."""

import random
from collections.abc import Sequence

from bench.event_loops import EventLoop
from bench.links import LINK_LATENCY_S, SidecarListener
from bench.scenarios import Scenario
from bench.sidecars import Sidecar
from cassiadrum.decisions import EndpointReport
from cassiadrum.defaults import LIMITS

__all__ = ["Reporter"]

# Real streams report progress with every frame; reporting it less often shortens the run.
TICKS_PER_PROGRESS = 2
# All simulated engines run the same software, so that answers go on at any of them.
SOFTWARE_VERSION = "v1"


class Reporter:
    """Sends a sidecar's load report to all entry instances when it changes or grows too old.

    It also sends the sidecar's cache events and triggers its progress messages.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        sidecar: Sidecar,
        zone: str,
        models: tuple[str, ...],
        listeners: Sequence[SidecarListener],
        scenario: Scenario,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._sidecar = sidecar
        self._zone = zone
        self._models = models
        self._listeners = listeners
        self._scenario = scenario
        self._rng = rng
        self._last = (-1, -1, -1)
        self._sent_at_s = -1.0
        self._tokens = 0.0
        self._ticks = 0

    def start(self) -> None:
        """Send the first report and start periodic reporting at a random offset."""
        self._send_report(lag_s=0.0)
        offset_s = self._rng.random() * LIMITS.REPORT_MIN_INTERVAL_S
        self._loop.call_later(offset_s, self._tick)

    def _tick(self) -> None:
        self._ticks += 1
        if self._ticks % TICKS_PER_PROGRESS == 0:
            self._sidecar.progress()
        idle_s = self._loop.now - self._sent_at_s
        if self._load_figures() != self._last or idle_s >= LIMITS.REPORT_MAX_INTERVAL_S:
            self._send_report(self._scenario.report_lag_s)
        self._send_cache_events()
        self._loop.call_later(LIMITS.REPORT_MIN_INTERVAL_S, self._tick)

    def _load_figures(self) -> tuple[int, int, int]:
        scheduler = self._sidecar.scheduler
        limit = 0 if self._sidecar.down else scheduler.limit
        return scheduler.running(), scheduler.waiting() + scheduler.paused(), limit

    def _send_report(self, lag_s: float) -> None:
        now = self._loop.now
        produced = self._sidecar.endpoint.produced
        rate = (produced - self._tokens) / (now - self._sent_at_s) if now > 0 else 0.0
        self._tokens, self._sent_at_s, self._last = produced, now, self._load_figures()
        rep = EndpointReport(
            self._sidecar.instance,
            self._zone,
            *self._last,
            now,
            models=self._models,
            tokens_per_s=rate,
            version=SOFTWARE_VERSION,
        )
        for listener in self._listeners:
            self._loop.call_later(
                lag_s + LINK_LATENCY_S, listener.load_reported, self._sidecar.service, rep
            )

    def _send_cache_events(self) -> None:
        keys, self._sidecar.endpoint.new_keys = self._sidecar.endpoint.new_keys, []
        kept = [key for key in keys if self._rng.random() >= self._scenario.cache_event_loss]
        if not kept:
            return
        delay_s = self._scenario.cache_lag_s + LINK_LATENCY_S
        for listener in self._listeners:
            message = (self._sidecar.service, self._sidecar.instance, kept)
            self._loop.call_later(delay_s, listener.prefixes_cached, *message)
