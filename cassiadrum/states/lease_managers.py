"""Acquisition and renewal of a lease in the table service."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from cassiadrum.states.errors import InvalidRecord
from cassiadrum.states.lease_records import LeaseRecord
from cassiadrum.states.lease_state_machines import LeaseStateMachine, LeaseWrite
from cassiadrum.stores import Conflict, Done, Refused, Row, StoreUnavailable, TableStore

__all__ = ["LEASE_TABLE", "LeaseManager"]

logger = logging.getLogger(__name__)

LEASE_TABLE: Final = "lease"


class LeaseManager:
    """Contender for a lease, which renews it; `clock` returns monotonic seconds."""

    def __init__(
        self,
        store: TableStore,
        name: str,
        state_machine: LeaseStateMachine,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._name = name
        self._state_machine = state_machine
        self._clock = clock

    def check(self) -> int:
        """Return the fencing token for an action that starts right now; raise LeaseLost."""
        return self._state_machine.check(self._clock())

    async def step(self) -> None:
        """Read the row if needed and write it if due; a failure is retried by the next step."""
        if self._state_machine.needs_read:
            try:
                self._observe(await self._store.get(LEASE_TABLE, self._name))
            except (StoreUnavailable, InvalidRecord) as exc:
                logger.debug("lease %s could not be read: %s", self._name, exc)
                return
        write = self._state_machine.next_write(self._clock())
        if write is not None:
            await self._put(write)

    async def release(self) -> None:
        """Release the lease, as in a graceful shutdown."""
        write = self._state_machine.release()
        if write is not None:
            await self._put(write)

    async def run(self, renew_interval_s: float, contend_interval_s: Callable[[], float]) -> None:
        """Run steps until cancelled; a candidate may read less often than a holder renews."""
        while True:
            held = self._state_machine.is_holder
            await self.step()
            if held != self._state_machine.is_holder:
                state = "lost" if held else "taken"
                logger.info("lease %s %s", self._name, state)
            holding = self._state_machine.is_holder
            await asyncio.sleep(renew_interval_s if holding else contend_interval_s())

    async def _put(self, write: LeaseWrite) -> None:
        value = write.record.to_value()
        result = await self._store.put(LEASE_TABLE, self._name, value, write.expected)
        if isinstance(result, Done):
            self._state_machine.on_written(write, result.version)
        elif isinstance(result, Conflict):
            try:
                self._observe(result.row)
            except InvalidRecord as exc:
                logger.error("lease %s has an invalid row: %s", self._name, exc)
        elif isinstance(result, Refused):
            self._state_machine.on_refused(write)

    def _observe(self, row: Row | None) -> None:
        record = LeaseRecord.from_value(row.value) if row else None
        # Time after the answer: a candidate's wait must not include the duration of the read.
        self._state_machine.observe(row.version if row else 0, record, self._clock())
