"""Construction of the work that only the holder of a lease does."""

import time
from collections.abc import Callable

from cassiadrum.decisions import DemandOrderPlanner
from cassiadrum.documents import ServiceDocument
from cassiadrum.events import EventRing
from cassiadrum.roles.claim_janitors import ClaimJanitor
from cassiadrum.roles.lease_contenders import LeaseContender
from cassiadrum.roles.order_managers import OrderManager
from cassiadrum.roles.order_tasks import OrderTask
from cassiadrum.roles.routers import Router
from cassiadrum.states import ClaimCleaner
from cassiadrum.stores import ObjectStore, TableStore, WeightStore

__all__ = ["MaintenanceFactory"]


class MaintenanceFactory:
    """Build the claim janitor and the order manager of an entry instance."""

    def __init__(
        self,
        instance: str,
        table: TableStore,
        objects: ObjectStore,
        weights: WeightStore | None,
        documents: Callable[[str], ServiceDocument | None],
        ring: EventRing,
    ) -> None:
        self._instance = instance
        self._table = table
        self._objects = objects
        self._weights = weights
        self._documents = documents
        self._ring = ring

    def janitor(self, entries: Callable[[], list[str]]) -> ClaimJanitor:
        """Return the janitor; `entries` names the live entry instances."""
        cleaner = ClaimCleaner(self._table, self._objects)
        return ClaimJanitor(self._lease("claims", entries), cleaner)

    def orders(self, router: Router, entries: Callable[[], list[str]]) -> OrderManager:
        """Return the order manager; it reads demand and links from the router."""

        def make_task(
            service: str, planner: DemandOrderPlanner, lease: LeaseContender
        ) -> OrderTask:
            return OrderTask(
                service,
                planner,
                lease,
                waiting=router.requested_models,
                entries=lambda: len(entries()),
                links=router.links.get,
                ring=self._ring,
            )

        return OrderManager(
            self._weights, self._documents, lambda name: self._lease(name, entries), make_task
        )

    def _lease(self, name: str, entries: Callable[[], list[str]]) -> LeaseContender:
        return LeaseContender(
            self._table, name, self._instance, entries, self._ring, time.monotonic
        )
