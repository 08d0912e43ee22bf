"""Tests of the fair queue with tiers."""

import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import FairTierQueue, QueuedRequest

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "push", "pop", "remove", "expire", "requeue"]),
        st.integers(0, 4),
        st.integers(1, 300),
        st.integers(0, 3),
    ),
    max_size=80,
)


def make_request(request_id: str, tier: int = 2, **fields: Any) -> QueuedRequest:
    req = QueuedRequest(request_id, "svc", f"class-{tier}", tier, tier < 2, "customer", 0.0)
    return req._replace(**fields)


def pop_ids(queue: FairTierQueue, now: float = 0.0) -> list[str]:
    popped = iter(lambda: queue.pop(now), None)
    return [req.request_id for req in popped if req is not None]


class QueueModel:
    """Apply steps to a queue and compare it with a dictionary of the waiting requests."""

    def __init__(self) -> None:
        self.queue = FairTierQueue(8, 1000.0)
        self.waiting: dict[str, QueuedRequest] = {}
        self.popped: list[QueuedRequest] = []
        self.left: list[str] = []
        self.pushed = 0

    def apply(self, step: tuple[str, int, int, int], now: float) -> None:
        kind, tier, tokens, customer = step
        if kind == "push":
            self.pushed += 1
            name = f"r{self.pushed}"
            fields = {"max_tokens": tokens, "customer": f"c{customer}", "arrived_s": now}
            self.add(make_request(name, tier, deadline_s=now + tokens, **fields), now)
        elif kind == "requeue" and self.popped:
            self.add(self.popped.pop(), now, again=True)
        elif kind == "pop" and (req := self.queue.pop(now)) is not None:
            self.take(req)
            self.popped.append(req)
        elif kind == "remove" and self.waiting:
            wanted = sorted(self.waiting)[tokens % len(self.waiting)]
            removed = self.queue.remove(wanted)
            assert removed is not None
            self.take(removed)
        elif kind == "expire":
            late = self.queue.expired(now)
            for req in late:
                self.take(req)
            assert all(req.deadline_s <= now for req in late)
            assert all(req.deadline_s > now for req in self.waiting.values())
        assert len(self.queue) == len(self.waiting) <= 8
        assert sum(req.max_tokens for req in self.waiting.values()) <= 1000

    def add(self, req: QueuedRequest, now: float, again: bool = False) -> None:
        if again:
            self.left.remove(req.request_id)
        self.waiting[req.request_id] = req
        evicted = self.queue.requeue(req, now) if again else self.queue.push(req, now)
        for victim in evicted:
            self.take(victim)
            assert all(other.tier <= victim.tier for other in self.waiting.values())

    def take(self, req: QueuedRequest) -> None:
        assert self.waiting.pop(req.request_id) == req
        self.left.append(req.request_id)


class TestBoundedQueue:
    """Guards against lost or duplicated requests and against shedding a higher tier first.

    A full queue evicts requests, while others are removed, expire and are queued again.
    """

    @given(STEPS)
    def test_each_request_leaves_once_and_the_lowest_tier_is_evicted(
        self, steps: list[tuple[str, int, int, int]]
    ) -> None:
        model = QueueModel()
        for index, step in enumerate(steps):
            model.apply(step, index * 10.0)
        while (req := model.queue.pop(1e6)) is not None:
            model.take(req)
        assert not model.waiting
        assert len(model.left) == len(set(model.left)) == model.pushed

    def test_eviction_takes_the_newest_of_the_heaviest_customer(self) -> None:
        queue = FairTierQueue(3)
        for name, customer in [("b1", "big"), ("b2", "big"), ("s1", "small")]:
            queue.push(make_request(name, customer=customer), 0.0)
        (victim,) = queue.push(make_request("s2", customer="small", max_tokens=10), 0.0)
        assert victim.request_id == "b2"


class TestOrder:
    """Guards against a wrong order between tiers, classes and customers.

    Customers that send many or large requests, overdue classes and requests that are queued again
    must not get more than their share.
    """

    def test_protected_classes_are_first_then_the_tiers_in_order(self) -> None:
        queue = FairTierQueue(10)
        for tier in (4, 2, 1, 3, 0):
            queue.push(make_request(f"t{tier}", tier), 0.0)
        assert pop_ids(queue) == ["t0", "t1", "t2", "t3", "t4"]

    def test_overdue_class_is_served_but_never_before_protected_work(self) -> None:
        queue = FairTierQueue(10)
        queue.push(make_request("late", 4, max_wait_s=5.0), 0.0)
        queue.push(make_request("urgent", 2, arrived_s=9.0), 9.0)
        queue.push(make_request("protected", 0, arrived_s=9.0), 9.0)
        assert pop_ids(queue, 9.0) == ["protected", "late", "urgent"]

    def test_requeued_request_keeps_its_place(self) -> None:
        queue = FairTierQueue(10)
        for index in range(4):
            queue.push(make_request(f"r{index}", arrived_s=float(index)), 0.0)
        first = queue.pop(4.0)
        assert first is not None
        queue.requeue(first._replace(attempt=1), 4.0)
        assert pop_ids(queue, 4.0) == ["r0", "r1", "r2", "r3"]

    @given(
        st.lists(st.integers(1, 400), min_size=60, max_size=60),
        st.sampled_from([0.5, 1.0, 2.0]),
    )
    def test_small_customer_gets_its_weighted_share(self, sizes: list[int], weight: float) -> None:
        queue = FairTierQueue(100)
        for index, tokens in enumerate(sizes):
            small = index >= 40
            fields: dict[str, Any] = {"customer": "small" if small else "large"}
            fields["weight"] = weight if small else 1.0
            queue.push(make_request(f"r{index}", max_tokens=tokens, **fields), 0.0)
        served = {"small": 0.0, "large": 0.0}
        left = {"small": 20, "large": 40}
        while min(left.values()) > 0:
            req = queue.pop(0.0)
            assert req is not None
            served[req.customer] += req.max_tokens / req.weight
            left[req.customer] -= 1
            # Start-time fair queueing: the shares differ by at most one request of each customer.
            assert abs(served["small"] - served["large"]) <= 400 / weight + 400

    def test_sending_one_request_at_a_time_gains_nothing(self) -> None:
        queue = FairTierQueue(100)
        for index in range(20):
            queue.push(make_request(f"steady-{index}", customer="steady"), 0.0)
        order: list[str] = []
        for index in range(20):
            if not order or order[-1] == "single":
                req = make_request(f"single-{index}", customer="single", arrived_s=-1.0)
                queue.push(req, 0.0)
            popped = queue.pop(0.0)
            assert popped is not None
            order.append(popped.customer)
        assert order.count("single") == 10

    def test_requeued_request_is_not_charged_to_its_customer(self) -> None:
        queue = FairTierQueue(100)
        for index in range(6):
            customer = "rejected" if index < 3 else "other"
            queue.push(make_request(f"{customer}-{index}", customer=customer), 0.0)
        for _ in range(5):
            req = queue.pop(0.0)
            assert req is not None
            assert req.request_id == "rejected-0"
            queue.requeue(req, 0.0)

    @pytest.mark.parametrize("rejects", [0, 3])
    def test_overdue_class_gets_exactly_its_share(self, rejects: int) -> None:
        queue = FairTierQueue(1000)
        for index in range(300):
            queue.push(make_request(f"high-{index}", 2, arrived_s=100.0), 100.0)
        # Requests dispatched before the class was overdue give it no claim to more than its share.
        for _ in range(100):
            queue.pop(100.0)
        for index in range(50):
            queue.push(make_request(f"low-{index}", 4, min_share=0.1), 100.0)
        for _ in range(rejects):
            req = queue.pop(100.0)
            assert req is not None
            queue.requeue(req, 100.0)
        tiers = [req.tier for _ in range(100) if (req := queue.pop(100.0))]
        assert tiers[0] == 4
        assert tiers.count(4) == 10

    def test_only_protected_work_is_ahead_of_a_protected_request(self) -> None:
        queue = FairTierQueue(10)
        for tier in (0, 1, 2, 3):
            queue.push(make_request(f"t{tier}", tier, max_tokens=100), 0.0)
        assert queue.ahead_tokens(make_request("new", 0)) == 100
        assert queue.ahead_tokens(make_request("new", 1)) == 200
        assert queue.ahead_tokens(make_request("new", 3, customer="other")) == 400


class TestCost:
    """Guards against a cost per request that grows faster than the log of the queue length."""

    @staticmethod
    def operations_per_request(length: int) -> float:
        # The number of customers grows with the length, so that each has as many requests at both
        # lengths: removing a customer's last request takes fewer or more operations than removing
        # one of many.
        queue, customers = FairTierQueue(length // 2), length // 25
        for index in range(length):
            customer = f"c{index * 7919 % customers}"
            fields = {"customer": customer, "deadline_s": 1e6 - index * 31 % 1009}
            queue.push(make_request(f"r{index}", index % 5, arrived_s=index * 0.01, **fields), 0.0)
        for index in range(0, length, 3):
            queue.remove(f"r{index}")
        queue.expired(1e6 - 500)
        while queue.pop(length * 0.01) is not None:
            pass
        return queue.operations / length

    def test_operations_grow_no_faster_than_log_of_the_length(self) -> None:
        short, long = 1_000, 16_000
        growth = self.operations_per_request(long) / self.operations_per_request(short)
        assert growth <= math.log2(long) / math.log2(short)
