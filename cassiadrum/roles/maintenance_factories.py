"""Construction of the tasks that run under a lease."""

import time
from collections.abc import Callable

from cassiadrum.decisions import DemandOrderPlanner
from cassiadrum.documents import ServiceDocument
from cassiadrum.events import EventRing
from cassiadrum.roles.claim_cleanup_tasks import ClaimCleanupTask
from cassiadrum.roles.lease_candidates import LeaseCandidate
from cassiadrum.roles.order_managers import OrderManager
from cassiadrum.roles.order_tasks import OrderTask
from cassiadrum.roles.routers import Router
from cassiadrum.states import ClaimCleaner
from cassiadrum.stores import ObjectStore, TableStore, WeightStore

__all__ = ["MaintenanceFactory"]


class MaintenanceFactory:
    """Factory of the claim clean-up and the order manager of an entry instance."""

    def __init__(
        self,
        instance: str,
        table: TableStore,
        objects: ObjectStore,
        weights: WeightStore | None,
        find_document: Callable[[str], ServiceDocument | None],
        ring: EventRing,
    ) -> None:
        self._instance = instance
        self._table = table
        self._objects = objects
        self._weights = weights
        self._find_document = find_document
        self._ring = ring

    def claim_cleanup(self, entry_instances: Callable[[], list[str]]) -> ClaimCleanupTask:
        """Return the clean-up task; `entry_instances` names the live entry instances."""
        cleaner = ClaimCleaner(self._table, self._objects)
        return ClaimCleanupTask(self._make_lease("claims", entry_instances), cleaner)

    def order_manager(
        self, router: Router, entry_instances: Callable[[], list[str]]
    ) -> OrderManager:
        """Return the order manager, which reads demand and links from the router."""

        def make_task(
            service: str, planner: DemandOrderPlanner, lease: LeaseCandidate
        ) -> OrderTask:
            return OrderTask(
                service,
                planner,
                lease,
                waiting_models=router.requested_models,
                entry_count=lambda: len(entry_instances()),
                find_link=router.links.get,
                ring=self._ring,
            )

        return OrderManager(
            self._weights,
            self._find_document,
            lambda name: self._make_lease(name, entry_instances),
            make_task,
        )

    def _make_lease(self, name: str, entry_instances: Callable[[], list[str]]) -> LeaseCandidate:
        return LeaseCandidate(
            self._table, name, self._instance, entry_instances, self._ring, time.monotonic
        )
