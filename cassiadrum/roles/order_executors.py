"""Execution of orders at the sidecar, each after a check of its fencing token."""

import asyncio

from cassiadrum.endpoints import Endpoint, EndpointError
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link
from cassiadrum.links.messages import Order, OrderResult
from cassiadrum.states import FencingGuard, FencingRefused

__all__ = ["OrderExecutor"]


class OrderExecutor:
    """Executor of one order at a time; the fencing token is checked right before each."""

    def __init__(self, endpoint: Endpoint, guard: FencingGuard, ring: EventRing) -> None:
        self._endpoint = endpoint
        self._guard = guard
        self._ring = ring
        self._orders: asyncio.Queue[tuple[Link, Order]] = asyncio.Queue()

    def post(self, link: Link, order: Order) -> None:
        """Queue an order; its result is sent on the link."""
        self._orders.put_nowait((link, order))

    async def run(self) -> None:
        """Execute queued orders until cancelled."""
        while True:
            link, order = await self._orders.get()
            ok, reason = await self._execute(order)
            kind = EventKind.ORDER_CARRIED_OUT if ok else EventKind.ORDER_REFUSED
            self._ring.record(kind, action=order.action, fencing=order.fencing, reason=reason)
            link.send(OrderResult(order.order_id, ok, reason))

    async def _execute(self, order: Order) -> tuple[bool, str]:
        try:
            await self._guard.admit(order.lease, order.fencing)
            return await self._endpoint.order(order.action, order.subject, order.fencing)
        except (FencingRefused, EndpointError) as exc:
            return False, str(exc)
