"""Clean-up of old claims by whoever holds the lease."""

import asyncio
import logging

from cassiadrum.roles.lease_contenders import LeaseContender
from cassiadrum.states import ClaimCleaner
from cassiadrum.stores import StoreUnavailable

__all__ = ["ClaimJanitor"]

logger = logging.getLogger(__name__)

STEP_INTERVAL_S = 30.0


class ClaimJanitor:
    """Clean one page of claims at a time while the lease is held."""

    def __init__(self, lease: LeaseContender, cleaner: ClaimCleaner) -> None:
        self._lease = lease
        self._cleaner = cleaner

    async def run(self) -> None:
        """Hold the lease and step for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._lease.run())
            group.create_task(self._clean())

    async def _clean(self) -> None:
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            if self._lease.fencing() is None:
                continue
            try:
                await self._cleaner.clean_page()
            except StoreUnavailable as exc:
                logger.debug("claims not cleaned: %s", exc)
