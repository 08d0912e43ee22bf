"""The task that reads the instance list."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.stores import Instance, InstanceList, StoreUnavailable

__all__ = ["InstanceWatch", "list_poll_interval_s"]

logger = logging.getLogger(__name__)


def list_poll_interval_s(processes: int) -> float:
    """Return the pause between reads that keeps the fleet within its reads a second."""
    return max(LIMITS.INSTANCE_POLL_INTERVAL_S, processes / LIMITS.FLEET_LIST_READS_PER_S)


class InstanceWatch:
    """Poll the instance list and pass on what it holds."""

    def __init__(self, instances: InstanceList) -> None:
        self.listeners: list[Callable[[tuple[Instance, ...]], None]] = []
        self._instances = instances
        self._count = 1
        self._entries: list[str] = []

    def processes(self) -> int:
        """Return the number of processes in the last list that was not empty."""
        return self._count

    def entries(self) -> list[str]:
        """Return the entry instances in the last list that was not empty."""
        return self._entries

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            try:
                listed = await self._instances.fetch()
            except StoreUnavailable as exc:
                logger.debug("instance list: %s", exc)
                listed = ()
            if listed:
                self._count = len(listed)
                self._entries = [item.instance for item in listed if item.role == "entry"]
            for listener in self.listeners:
                listener(listed)
            await asyncio.sleep(list_poll_interval_s(self._count))
