"""Orders to the engines of one service, sent by the holder of the service's lease."""

import asyncio
import time
import uuid
from collections import Counter
from collections.abc import Callable, Iterable

from cassiadrum.decisions import EndpointReport, EngineOrder, ModelDemand, OrderPlanner
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link
from cassiadrum.links.messages import Order
from cassiadrum.roles.lease_candidates import LeaseCandidate

__all__ = ["OrderTask"]

PLAN_INTERVAL_S = 1.0
# Weight of the newest sample in the moving average, which spans about a minute.
DEMAND_SAMPLE_WEIGHT = 1.0 / 60.0


class OrderTask:
    """Task that averages the demand for models, plans orders and sends them under the lease.

    `waiting_models` returns model and adapter of each request of the service at this instance.
    `entry_count` returns the number of entry instances; the demand of the service is estimated as
    this instance's demand times that number, because the balancer spreads requests evenly.
    """

    def __init__(
        self,
        service: str,
        planner: OrderPlanner,
        lease: LeaseCandidate,
        *,
        waiting_models: Callable[[str], Iterable[tuple[str, str]]],
        entry_count: Callable[[], int],
        find_link: Callable[[str], Link | None],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._service = service
        self._planner = planner
        self._lease = lease
        self._waiting_models = waiting_models
        self._entry_count = entry_count
        self._find_link = find_link
        self._ring = ring
        self._clock = clock
        self._reports: dict[str, EndpointReport] = {}
        self._demand: dict[tuple[str, str], float] = {}
        self._pending_orders: dict[str, str] = {}

    def load_reported(self, rep: EndpointReport) -> None:
        """Store the latest load report of an engine of the service."""
        self._reports[rep.instance] = rep

    def endpoint_removed(self, instance: str) -> None:
        """Drop the report of an engine that was removed."""
        self._reports.pop(instance, None)

    def order_finished(self, order_id: str, ok: bool, reason: str) -> None:
        """Record the result of an order that this task sent."""
        instance = self._pending_orders.pop(order_id, None)
        if instance is None:
            return
        self._planner.order_answered(instance, self._clock())
        kind = EventKind.ORDER_CARRIED_OUT if ok else EventKind.ORDER_REFUSED
        self._ring.record(kind, service=self._service, to=instance, reason=reason)

    async def run(self) -> None:
        """Plan once per PLAN_INTERVAL_S until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Sample the demand; if the lease is held, plan and send orders."""
        self._sample()
        if self._lease.fencing_token() is not None:
            self._plan()

    def _sample(self) -> None:
        counts = Counter(name for name in self._waiting_models(self._service) if name[0])
        for name in {*counts, *self._demand}:
            old = self._demand.get(name, 0.0)
            self._demand[name] = old + DEMAND_SAMPLE_WEIGHT * (counts[name] - old)

    def _plan(self) -> None:
        entry_count = max(1, self._entry_count())
        demand = [
            ModelDemand(model, adapter, mean * entry_count)
            for (model, adapter), mean in self._demand.items()
        ]
        for order in self._planner.plan(demand, list(self._reports.values()), self._clock()):
            self._send(order)

    def _send(self, order: EngineOrder) -> None:
        link = self._find_link(order.instance)
        # Checked again right before the order is sent: the lease may have expired meanwhile.
        fencing = self._lease.fencing_token()
        if link is None or fencing is None:
            self._planner.order_answered(order.instance, self._clock())
            return
        order_id = uuid.uuid4().hex
        self._pending_orders[order_id] = order.instance
        subject = order.adapter or order.model
        self._ring.record(
            EventKind.ORDER_SENT,
            service=self._service,
            to=order.instance,
            action=order.kind.value,
            subject=subject,
            fencing=fencing,
        )
        link.send(Order(order_id, self._lease.name, fencing, order.kind.value, subject))
