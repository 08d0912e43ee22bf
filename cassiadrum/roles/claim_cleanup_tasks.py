"""Clean-up of old claims by the entry instance that holds the lease."""

import asyncio
import logging

from cassiadrum.roles.lease_candidates import LeaseCandidate
from cassiadrum.states import ClaimCleaner
from cassiadrum.stores import StoreUnavailable

__all__ = ["ClaimCleanupTask"]

logger = logging.getLogger(__name__)

CLEANUP_INTERVAL_S = 30.0


class ClaimCleanupTask:
    """Task that cleans one page of claims per interval while this instance holds the lease."""

    def __init__(self, lease: LeaseCandidate, cleaner: ClaimCleaner) -> None:
        self._lease = lease
        self._cleaner = cleaner

    async def run(self) -> None:
        """Contend for the lease and clean claims until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._lease.run())
            group.create_task(self._clean())

    async def _clean(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            if self._lease.fencing_token() is None:
                continue
            try:
                await self._cleaner.clean_page()
            except StoreUnavailable as exc:
                logger.debug("claim clean-up skipped until the next interval: %s", exc)
