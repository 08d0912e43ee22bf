"""Tests of the bound on the waits of unprotected classes."""

import math

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import FairTierQueue, QueuedRequest, wait_bound_s
from cassiadrum.tests.test_fair_tier_queues import make_request

ARRIVALS = st.lists(
    st.tuples(st.integers(2, 4), st.integers(0, 60), st.integers(1, 200)),
    min_size=1,
    max_size=60,
)


class TestWaitBound:
    """Guards against a class that waits longer than wait_bound_s states.

    Higher tiers and protected classes delay the others; a class's minimum share and longest wait
    have to limit that under any arrivals.
    """

    CAPACITY_TOKENS_PER_S = 20.0
    PROTECTED_TOKENS = 50
    LARGEST_TOKENS = 200.0

    def test_formula(self) -> None:
        terms = {"max_wait_s": 30.0, "backlog_tokens": 100.0, "capacity_tokens_per_s": 50.0}
        assert wait_bound_s(**terms, min_share=0.2, protected_load=0.5) == 50.0
        assert wait_bound_s(**terms, min_share=0.0, protected_load=0.5) == math.inf

    @given(
        ARRIVALS,
        st.sampled_from([(0.5, 0.3, 0.2), (0.9, 0.05, 0.05), (0.2, 0.2, 0.2)]),
        st.sampled_from([0.0, 0.3, 0.7]),
        st.sampled_from([0.0, 10.0]),
    )
    def test_every_wait_stays_within_the_bound(
        self,
        arrivals: list[tuple[int, int, int]],
        shares: tuple[float, ...],
        load: float,
        max_wait_s: float,
    ) -> None:
        requests = [
            make_request(f"r{index}", tier, arrived_s=float(at), max_tokens=tokens)._replace(
                min_share=shares[tier - 2], max_wait_s=max_wait_s
            )
            for index, (tier, at, tokens) in enumerate(arrivals)
        ]
        period = self.PROTECTED_TOKENS / (load * self.CAPACITY_TOKENS_PER_S) if load else math.inf
        horizon = 60 + sum(req.max_tokens for req in requests) / self.CAPACITY_TOKENS_PER_S / (
            1 - load
        )
        for index in range(int(horizon / period) if load else 0):
            fields = {"arrived_s": index * period, "max_tokens": self.PROTECTED_TOKENS}
            requests.append(make_request(f"p{index}", 0, **fields))
        self.serve(sorted(requests, key=lambda req: req.arrived_s), load)

    def serve(self, requests: list[QueuedRequest], load: float) -> None:
        """Serve one request at a time and compare each wait with the bound at its arrival."""
        queue = FairTierQueue(len(requests))
        queued_tokens, last_served_tokens = (
            dict.fromkeys(range(5), 0.0),
            dict.fromkeys(range(5), 0.0),
        )
        bounds: dict[str, float] = {}
        now, index = 0.0, 0
        while index < len(requests) or len(queue):
            if not len(queue):
                now = max(now, requests[index].arrived_s)
            while index < len(requests) and requests[index].arrived_s <= now:
                req = requests[index]
                queued_tokens[req.tier] += req.max_tokens
                bounds[req.request_id] = wait_bound_s(
                    max_wait_s=req.max_wait_s,
                    backlog_tokens=queued_tokens[req.tier] + last_served_tokens[req.tier],
                    min_share=req.min_share,
                    protected_load=load,
                    capacity_tokens_per_s=self.CAPACITY_TOKENS_PER_S,
                    unshared_tokens=3 * self.LARGEST_TOKENS,
                )
                queue.push(req, now)
                index += 1
            served = queue.pop(now)
            assert served is not None
            waited_s = now - served.arrived_s
            assert served.protected or waited_s <= bounds[served.request_id]
            queued_tokens[served.tier] -= served.max_tokens
            last_served_tokens[served.tier] = served.max_tokens
            now += served.max_tokens / self.CAPACITY_TOKENS_PER_S
