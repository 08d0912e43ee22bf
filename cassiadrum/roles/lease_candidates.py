"""Leases that entry instances contend for."""

import asyncio
from collections.abc import Callable, Iterable

import xxhash

from cassiadrum.events import EventKind, EventRing
from cassiadrum.states import LeaseLost, LeaseManager, LeaseStateMachine
from cassiadrum.stores import TableStore

__all__ = ["LeaseCandidate", "is_candidate"]

LEASE_DURATION_S = 6.0
LEASE_MARGIN_S = 1.0
RENEW_INTERVAL_S = LEASE_DURATION_S / 3
# Three candidates take over a lost lease within seconds, and the number of reads of a lease does
# not grow with the fleet.
MAX_CANDIDATES = 3


def is_candidate(lease: str, instance: str, entries: Iterable[str]) -> bool:
    """Return whether an entry instance contends for a lease.

    The candidates are the first MAX_CANDIDATES in the order of a hash of lease and instance. While
    no entry instance is known, every instance is a candidate.
    """
    ranked = sorted(entries, key=lambda name: xxhash.xxh64_intdigest(f"{lease} {name}".encode()))
    return instance in ranked[:MAX_CANDIDATES] or not ranked


class LeaseCandidate:
    """Task that contends for one lease and holds it.

    `entry_instances` returns the names of the live entry instances; `clock` gives monotonic
    seconds.
    """

    def __init__(
        self,
        store: TableStore,
        name: str,
        instance: str,
        entry_instances: Callable[[], Iterable[str]],
        ring: EventRing,
        clock: Callable[[], float],
    ) -> None:
        state_machine = LeaseStateMachine(
            instance, duration_s=LEASE_DURATION_S, margin_s=LEASE_MARGIN_S
        )
        self.name = name
        self._manager = LeaseManager(store, name, state_machine, clock)
        self._state_machine = state_machine
        self._instance = instance
        self._entry_instances = entry_instances
        self._ring = ring

    async def run(self) -> None:
        """Renew or contend until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def step(self) -> None:
        """Renew a held lease, or contend for it if this instance is a candidate."""
        held = self._state_machine.is_holder
        if held or is_candidate(self.name, self._instance, self._entry_instances()):
            await self._manager.step()
        if held != self._state_machine.is_holder:
            kind = EventKind.LEASE_LOST if held else EventKind.LEASE_ACQUIRED
            self._ring.record(kind, lease=self.name)

    def fencing_token(self) -> int | None:
        """Return the fencing token for an effect that starts now, None without the lease."""
        try:
            return self._manager.check()
        except LeaseLost:
            return None

    async def release(self) -> None:
        """Release the lease, so that another instance need not wait for it to expire."""
        await self._manager.release()
