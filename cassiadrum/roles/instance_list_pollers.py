"""Polling of the instance list."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.stores import Instance, InstanceList, StoreUnavailable

__all__ = ["InstanceListPoller", "list_poll_interval_s"]

logger = logging.getLogger(__name__)


def list_poll_interval_s(processes: int) -> float:
    """Return the poll interval in seconds for a fleet of that many processes.

    It grows with the fleet so that all processes together stay within FLEET_LIST_READS_PER_S.
    """
    return max(LIMITS.INSTANCE_POLL_INTERVAL_S, processes / LIMITS.FLEET_LIST_READS_PER_S)


class InstanceListPoller:
    """Poller that passes the instance list to `listeners`; after a failed read, an empty one."""

    def __init__(self, instances: InstanceList) -> None:
        self.listeners: list[Callable[[tuple[Instance, ...]], None]] = []
        self._instances = instances
        self._count = 1
        self._entries: list[str] = []

    def process_count(self) -> int:
        """Return the number of processes in the last non-empty list, 1 before the first."""
        return self._count

    def entry_instances(self) -> list[str]:
        """Return the names of the entry instances in the last non-empty list."""
        return self._entries

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                listed = await self._instances.fetch()
            except StoreUnavailable as exc:
                logger.debug("instance list not read: %s", exc)
                listed = ()
            if listed:
                self._count = len(listed)
                self._entries = [item.instance for item in listed if item.role == "entry"]
            for listener in self.listeners:
                listener(listed)
            await asyncio.sleep(list_poll_interval_s(self._count))
