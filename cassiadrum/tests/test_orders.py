"""Tests of orders to engines and of the lease and fencing token that protect them."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.decisions import DemandOrderPlanner, EndpointReport
from cassiadrum.endpoints import EngineEndpoint
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links.messages import Message, Order, OrderResult
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.lease_candidates import MAX_CANDIDATES, LeaseCandidate, is_candidate
from cassiadrum.roles.order_executors import OrderExecutor
from cassiadrum.roles.order_tasks import OrderTask
from cassiadrum.standins import EngineStandIn, TableService
from cassiadrum.states import FencingGuard
from cassiadrum.stores import HttpTableStore, StoreTransport, TableStore


class RecordingLink:
    """A link that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: asyncio.Queue[Message] = asyncio.Queue()

    def send(self, msg: Message) -> None:
        self.sent.put_nowait(msg)


@pytest.fixture
async def store() -> AsyncIterator[TableStore]:
    service = TableService()
    client = HttpClient("127.0.0.1", await service.start())
    yield HttpTableStore(StoreTransport(client, time.monotonic))
    client.close()
    await service.close()


def make_ring() -> EventRing:
    return EventRing(HybridLogicalClock(lambda: 1.0), "instance", "role", "start")


class TestLeaseCandidates:
    """Guards against reads of a lease that grow with the number of entry instances.

    Every candidate reads the lease row on each step.
    """

    def test_few_of_many_instances_are_candidates(self) -> None:
        names = [f"entry-{number}" for number in range(200)]
        candidates = [name for name in names if is_candidate("orders/s", name, names)]
        assert len(candidates) == MAX_CANDIDATES


class TestOrderExecutor:
    """Guards against an order of a former lease holder at an engine that ignores tokens.

    The order was sent before the lease was lost and arrives after the takeover; only the sidecar
    compares its fencing token.
    """

    async def test_old_token_is_refused_before_the_engine(self, store: TableStore) -> None:
        now = [0.0]
        first = LeaseCandidate(store, "orders/s", "a", lambda: ["a"], make_ring(), lambda: now[0])
        second = LeaseCandidate(store, "orders/s", "b", lambda: ["b"], make_ring(), lambda: now[0])
        await first.step()
        await first.step()
        old = first.fencing_token()
        await second.step()
        now[0] += 10.0
        await second.step()
        new = second.fencing_token()
        assert old is not None and new is not None and new > old
        assert first.fencing_token() is None

        engine = EngineStandIn(enforces_fencing=False)
        endpoint = EngineEndpoint("127.0.0.1", await engine.start())
        executor = OrderExecutor(
            endpoint, FencingGuard(store, endpoint_enforces=False), make_ring()
        )
        task = asyncio.create_task(executor.run())
        link = RecordingLink()
        for fencing in (old, new):
            executor.post(
                link,  # type: ignore[arg-type]
                Order(str(fencing), "orders/s", fencing, "load_model", f"m{fencing}"),
            )
        results = [await link.sent.get() for _ in range(2)]
        assert [res.ok for res in results if isinstance(res, OrderResult)] == [False, True]
        assert (await endpoint.load()).models == (f"m{new}",)
        task.cancel()
        endpoint.close()
        await engine.close()


class TestOrderTask:
    """Guards against models in demand that no engine loads, and against orders without a lease.

    Every entry instance plans from the demand it sees, but only the lease holder may send.
    """

    async def test_order_is_sent_only_under_the_lease(self, store: TableStore) -> None:
        now = [0.0]
        lease = LeaseCandidate(store, "orders/s", "a", lambda: ["a"], make_ring(), lambda: now[0])
        link = RecordingLink()
        task = OrderTask(
            "s",
            DemandOrderPlanner({("wanted", ""): 1000}, 1e9),
            lease,
            waiting_models=lambda service: [("wanted", "")] * 20,
            entry_count=lambda: 1,
            find_link=lambda instance: link,  # type: ignore[arg-type, return-value]
            ring=make_ring(),
            clock=lambda: now[0],
        )
        for number in range(3):
            task.load_reported(EndpointReport(f"e{number}", "z", 0, 0, 8, 0.0, ("other",)))
        for _ in range(60):
            task.step()
            now[0] += 1.0
        assert link.sent.empty()
        for _ in range(12):
            await lease.step()
            task.step()
            now[0] += 1.0
        order = link.sent.get_nowait()
        assert isinstance(order, Order)
        assert (order.action, order.subject, order.fencing) == ("load_model", "wanted", 1)
