"""Keeper of a lease in the table service."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cassiadrum.states.errors import InvalidRecord
from cassiadrum.states.lease_cores import LeaseCore, LeaseWrite
from cassiadrum.states.lease_records import LeaseRecord
from cassiadrum.stores import Conflict, Done, Refused, Row, StoreUnavailable, TableStore

__all__ = ["LEASE_TABLE", "LeaseKeeper"]

logger = logging.getLogger(__name__)

LEASE_TABLE: Final = "lease"


class LeaseKeeper:
    """Contend for a lease and renew it; `clock` returns monotonic seconds."""

    def __init__(
        self, store: TableStore, name: str, core: LeaseCore, clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._name = name
        self._core = core
        self._clock = clock

    def check(self) -> int:
        """Return the fencing token for an effect that starts right now; raise LeaseLost."""
        return self._core.check(self._clock())

    async def step(self) -> None:
        """Read the row if needed and write it if due; a failure is left to the next step."""
        if self._core.reads_row:
            try:
                self._observe(await self._store.get(LEASE_TABLE, self._name))
            except (StoreUnavailable, InvalidRecord) as exc:
                logger.debug("lease %s not read: %s", self._name, exc)
                return
        write = self._core.next_write(self._clock())
        if write is not None:
            await self._put(write)

    async def release(self) -> None:
        """Give the lease up, as at a graceful shutdown."""
        write = self._core.release()
        if write is not None:
            await self._put(write)

    async def run(self, renew_interval_s: float, contend_interval_s: Callable[[], float]) -> None:
        """Step for ever; a contender may read less often than a holder renews."""
        while True:
            held = self._core.is_holder
            await self.step()
            if held != self._core.is_holder:
                state = "lost" if held else "taken"
                logger.info("lease %s %s", self._name, state)
            holding = self._core.is_holder
            await asyncio.sleep(renew_interval_s if holding else contend_interval_s())

    async def _put(self, write: LeaseWrite) -> None:
        value = write.record.to_value()
        result = await self._store.put(LEASE_TABLE, self._name, value, write.expected)
        if isinstance(result, Done):
            self._core.written(write, result.version)
        elif isinstance(result, Conflict):
            try:
                self._observe(result.row)
            except InvalidRecord as exc:
                logger.error("lease %s: %s", self._name, exc)
        elif isinstance(result, Refused):
            self._core.refused(write)

    def _observe(self, row: Row | None) -> None:
        record = LeaseRecord.from_value(row.value) if row else None
        # The time after the answer: a contender must not count the time of the read itself.
        self._core.observe(row.version if row else 0, record, self._clock())
