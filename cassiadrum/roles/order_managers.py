"""Order tasks of all model services at an entry instance."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable

from cassiadrum.decisions import DemandOrderPlanner, EndpointReport
from cassiadrum.documents import ServiceDocument
from cassiadrum.links.messages import OrderResult
from cassiadrum.roles.lease_candidates import LeaseCandidate
from cassiadrum.roles.order_tasks import OrderTask
from cassiadrum.stores import StoreUnavailable, WeightStore

__all__ = ["OrderManager"]

logger = logging.getLogger(__name__)

# The part of the weight store's bandwidth that orders may use.
WEIGHT_STORE_BYTES_PER_S = 200e6
SIZE_RETRY_INTERVAL_S = 5.0


class OrderManager:
    """The lease and the order task of each configured model service.

    Without a weight store no model can be loaded, and no task runs.
    """

    def __init__(
        self,
        weights: WeightStore | None,
        find_document: Callable[[str], ServiceDocument | None],
        make_lease: Callable[[str], LeaseCandidate],
        make_task: Callable[[str, DemandOrderPlanner, LeaseCandidate], OrderTask],
    ) -> None:
        self._weights = weights
        self._find_document = find_document
        self._make_lease = make_lease
        self._make_task = make_task
        self._tasks: dict[str, OrderTask] = {}
        self._running: dict[str, asyncio.Task[None]] = {}

    def configure(self, service: str) -> None:
        """Start the task of a new model service, or stop that of a deleted one."""
        document = self._find_document(service)
        if document is None or document.kind != "model":
            self._stop(service)
        elif service not in self._running and self._weights is not None:
            self._running[service] = asyncio.create_task(self._run(document, self._weights))

    def load_reported(self, service: str, rep: EndpointReport) -> None:
        """Pass a load report of an endpoint to the task of its service."""
        if service in self._tasks:
            self._tasks[service].load_reported(rep)

    def endpoint_removed(self, service: str, instance: str) -> None:
        """Remove an endpoint from the task of its service."""
        if service in self._tasks:
            self._tasks[service].endpoint_removed(instance)

    def order_finished(self, msg: OrderResult) -> None:
        """Pass the result of an order to the tasks; only the one that sent it uses it."""
        for task in self._tasks.values():
            task.order_finished(msg.order_id, msg.ok, msg.reason)

    async def close(self) -> None:
        """Stop every task and wait until its lease is released."""
        running = list(self._running.values())
        for service in list(self._running):
            self._stop(service)
        for task in running:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _stop(self, service: str) -> None:
        self._tasks.pop(service, None)
        task = self._running.pop(service, None)
        if task is not None:
            task.cancel()

    async def _run(self, document: ServiceDocument, weights: WeightStore) -> None:
        sizes = await _fetch_sizes(weights, document.models)
        planner = DemandOrderPlanner(sizes, WEIGHT_STORE_BYTES_PER_S)
        lease = self._make_lease(f"orders/{document.name}")
        task = self._make_task(document.name, planner, lease)
        self._tasks[document.name] = task
        try:
            await asyncio.gather(lease.run(), task.run())
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await lease.release()


async def _fetch_sizes(weights: WeightStore, models: Iterable[str]) -> dict[tuple[str, str], int]:
    """Return the sizes in bytes by model and adapter, retrying while the store is unavailable.

    A model of unknown size is left out, so that no order loads it.
    """
    while True:
        try:
            sizes = {(name, ""): await weights.size(name) for name in models}
            return {key: size for key, size in sizes.items() if size is not None}
        except StoreUnavailable as exc:
            logger.debug("weight store did not return the model sizes, retrying: %s", exc)
        await asyncio.sleep(SIZE_RETRY_INTERVAL_S)
