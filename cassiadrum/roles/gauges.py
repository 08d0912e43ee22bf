"""Figures of a process that are read when its metrics are."""

from collections.abc import Callable, Mapping
from typing import Literal

from cassiadrum.links import Link
from cassiadrum.metrics import RoleMetrics

__all__ = ["Gauges"]


class Gauges:
    """Bring connections, versions, queue lengths and control bytes up to date before rendering.

    `links` are the open links, which the daemon adds and removes; the bytes of a removed link
    stay counted. `versions` gives the version in force by service, `queued` the queue length.
    """

    def __init__(
        self,
        metrics: RoleMetrics,
        peer: Literal["entry", "sidecar"],
        versions: Callable[[], Mapping[str, int]],
        queued: Callable[[], Mapping[str, int]],
    ) -> None:
        self.links: set[Link] = set()
        self._metrics = metrics
        self._peer = peer
        self._versions = versions
        self._queued = queued
        self._counted: dict[Link, tuple[int, int]] = {}

    def remove(self, link: Link) -> None:
        """Count the last bytes of a link that ended and forget it."""
        self._count(link)
        self.links.discard(link)
        self._counted.pop(link, None)

    def render(self) -> bytes:
        """Return the text for `/metrics`."""
        self._metrics.connections(self._peer, len(self.links))
        for service, version in self._versions().items():
            self._metrics.configuration_version(service, version)
        for service, count in self._queued().items():
            self._metrics.queue_length(service, count)
        for link in self.links:
            self._count(link)
        return self._metrics.render()

    def _count(self, link: Link) -> None:
        sent, received = self._counted.get(link, (0, 0))
        self._counted[link] = (link.control_bytes_sent, link.control_bytes_received)
        self._metrics.control_bytes("out", link.control_bytes_sent - sent)
        self._metrics.control_bytes("in", link.control_bytes_received - received)
