"""Metrics whose values are collected when they are rendered."""

from collections.abc import Callable, Mapping
from typing import Literal

from cassiadrum.links import Link
from cassiadrum.metrics import LoopDelay, RoleMetrics

__all__ = ["Gauges"]


class Gauges:
    """Gauges of connections, versions, queue lengths and control bytes, updated on rendering.

    The daemon runs `loop_delay.watch()`. `links` are the open links, which the daemon adds;
    `remove` counts the last bytes of a link.
    `versions` returns the version in force and `queue_lengths` the queue length, each by service.
    `peer` is the role of the processes at the other end of the links.
    """

    def __init__(
        self,
        metrics: RoleMetrics,
        peer: Literal["entry", "sidecar"],
        versions: Callable[[], Mapping[str, int]],
        queue_lengths: Callable[[], Mapping[str, int]],
    ) -> None:
        self.links: set[Link] = set()
        self.loop_delay = LoopDelay()
        self._metrics = metrics
        self._peer = peer
        self._versions = versions
        self._queue_lengths = queue_lengths
        self._counted_bytes: dict[Link, tuple[int, int]] = {}

    def remove(self, link: Link) -> None:
        """Count the last bytes of a closed link and remove it."""
        self._count_bytes(link)
        self.links.discard(link)
        self._counted_bytes.pop(link, None)

    def render(self) -> bytes:
        """Return the current metrics as text for `/metrics`."""
        self._metrics.set_connections(self._peer, len(self.links))
        for service, version in self._versions().items():
            self._metrics.set_configuration_version(service, version)
        for service, count in self._queue_lengths().items():
            self._metrics.set_queue_length(service, count)
        self._metrics.set_loop_delay(self.loop_delay.longest_s, self.loop_delay.recent_s)
        for link in self.links:
            self._count_bytes(link)
        return self._metrics.render()

    def _count_bytes(self, link: Link) -> None:
        sent, received = self._counted_bytes.get(link, (0, 0))
        self._counted_bytes[link] = (link.control_bytes_sent, link.control_bytes_received)
        self._metrics.count_control_bytes("out", link.control_bytes_sent - sent)
        self._metrics.count_control_bytes("in", link.control_bytes_received - received)
