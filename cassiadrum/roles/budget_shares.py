"""The share of one process in the fleet's request rates at the stores."""

import time
from collections.abc import Callable, Iterable

from cassiadrum.documents import ServiceDocument
from cassiadrum.stores import Instance, StoreBudget, TokenBucket

__all__ = ["BudgetShare"]

# Rates of the whole fleet, within the several hundred writes and 2,000 reads per second of the
# table service and object store.
CLAIM_WRITES_PER_S = 300.0
OTHER_WRITES_PER_S = 100.0
READS_PER_S = 1500.0
# Few processes write at a time: lease holders, and entry instances that accept a change. An equal
# share for each of 2,300 processes would be too small to renew a lease.
MIN_RATE_PER_S = 1.0
BURST_CALLS = 4.0


class BudgetShare:
    """The budget that all store clients of a process share, scaled to the fleet's size.

    `service` is the service of a sidecar's endpoint, empty at an entry instance. `find_document`
    returns the document of a service, or None. `clock` returns monotonic seconds.
    """

    def __init__(
        self,
        service: str,
        find_document: Callable[[str], ServiceDocument | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.budget = StoreBudget(
            TokenBucket(READS_PER_S, BURST_CALLS), TokenBucket(CLAIM_WRITES_PER_S, BURST_CALLS)
        )
        self._service = service
        self._find_document = find_document
        self._clock = clock

    def update_instances(self, instances: Iterable[Instance]) -> None:
        """Adapt the rates to a new instance list; an empty one is ignored as a failed read."""
        processes = tuple(instances)
        if not processes:
            return
        now = self._clock()
        self.budget.reads.set_rate(max(MIN_RATE_PER_S, READS_PER_S / len(processes)), now)
        self.budget.writes.set_rate(max(MIN_RATE_PER_S, self._writes_per_s(processes)), now)

    def _writes_per_s(self, processes: tuple[Instance, ...]) -> float:
        if not self._service:
            entries = sum(item.role == "entry" for item in processes)
            return OTHER_WRITES_PER_S / max(1, entries)
        if not self._uses_claims(self._service):
            return 0.0
        services = {item.service for item in processes if item.role == "sidecar"}
        claiming = {service for service in services if self._uses_claims(service)}
        return CLAIM_WRITES_PER_S / max(1, sum(item.service in claiming for item in processes))

    def _uses_claims(self, service: str) -> bool:
        document = self._find_document(service)
        # A document that has not arrived yet may have a once-only class.
        return document is None or any(cls.once_only for cls in document.classes)
