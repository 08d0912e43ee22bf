"""Generated arrivals of one run."""

import math
import random
import zlib

from bench.calls import Call
from bench.capacities import capacity_per_endpoint, count_healthy_endpoints
from bench.class_profiles import CLASS_PROFILES, ClassProfile
from bench.customers import CUSTOMERS, Customer
from bench.engine_profiles import ENGINE_PROFILE
from bench.scenarios import Scenario
from cassiadrum.decisions import QueuedRequest
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["BASE_LOAD", "WARM_UP_S", "class_shares", "make_calls"]

# The load at which the shares of the class profiles hold; load beyond it is the burst.
BASE_LOAD = 0.7
# Before the measurement, empty engines and caches fill at the base load at most, and then batches
# grow with the load until the end of the warm-up.
CACHE_FILL_S = 2.0
WARM_UP_S = 5.0
# Fraction of requests of cancellable classes whose caller may disconnect early.
DISCONNECT_FRACTION = 0.005
MAX_ANSWER_TOKENS = 4096.0


def make_calls(
    document: ServiceDocument, scenario: Scenario, load: float, duration_s: float, seed: str
) -> list[Call]:
    """Return the calls of one service in order of arrival.

    The work offered in the measured `duration_s` is `load` times the capacity, to within one
    request for each class and window.
    """
    rng = random.Random(f"{seed}/{document.name}/{scenario.name}")
    capacity = capacity_per_endpoint(document) * count_healthy_endpoints(document, scenario)
    windows = (
        (0.0, CACHE_FILL_S, min(load, BASE_LOAD)),
        (CACHE_FILL_S, WARM_UP_S - CACHE_FILL_S, load),
        (WARM_UP_S, duration_s, load),
    )
    calls = []
    for cls in document.classes:
        for start_s, length_s, window_load in windows:
            base, burst = class_shares(document, scenario, cls, window_load)
            for share, customer_share in ((base, 0.0), (burst, scenario.burst_customer_share)):
                generator = _CallGenerator(document, cls, rng, customer_share)
                calls += generator.generate(share * capacity * length_s, start_s, length_s)
    calls.sort(key=lambda call: (call.req.arrived_s, call.req.request_id))
    return calls


def class_shares(
    document: ServiceDocument, scenario: Scenario, cls: RequestClass, load: float
) -> tuple[float, float]:
    """Return a class's base load and burst load as fractions of the capacity."""
    profiles = CLASS_PROFILES[document.name]
    unprotected = [other.name for other in document.classes if not other.protected]
    bursting = [name for name in unprotected if name in scenario.burst] or unprotected
    base = profiles[cls.name].share * min(1.0, load / BASE_LOAD)
    if cls.name not in bursting:
        return base, 0.0
    weight = profiles[cls.name].share / sum(profiles[name].share for name in bursting)
    return base, weight * max(0.0, load - BASE_LOAD)


class _CallGenerator:
    """Generates random calls of one class."""

    def __init__(
        self,
        document: ServiceDocument,
        cls: RequestClass,
        rng: random.Random,
        burst_customer_share: float,
    ) -> None:
        self._document = document
        self._cls = cls
        self._profile: ClassProfile = CLASS_PROFILES[document.name][cls.name]
        self._rng = rng
        self._burst_customer_share = burst_customer_share

    def generate(self, budget: float, start_s: float, length_s: float) -> list[Call]:
        """Return calls with at least `budget` work in total, with arrivals uniform in a window."""
        calls = []
        while budget > 0:
            customer = self._customer()
            work = self._work(customer)
            budget -= work
            arrived_s = start_s + self._rng.random() * length_s
            calls.append(self._call(customer, work, arrived_s))
        return calls

    def _customer(self) -> Customer:
        if self._rng.random() < self._burst_customer_share:
            return CUSTOMERS[0]
        return self._rng.choices(CUSTOMERS, [customer.share for customer in CUSTOMERS])[0]

    def _work(self, customer: Customer) -> float:
        sigma = self._profile.sigma
        if not sigma:
            return self._profile.work
        mean = self._profile.work * customer.length_factor
        length = self._rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
        return float(round(min(MAX_ANSWER_TOKENS, max(8.0, length))))

    def _call(self, customer: Customer, work: float, arrived_s: float) -> Call:
        cls, profile = self._cls, self._profile
        blocks = profile.shared_blocks
        keys = [f"{cls.name}/{customer.name if block else ''}/{block}" for block in range(blocks)]
        own = round(self._rng.expovariate(1 / profile.prompt_tokens)) if blocks else 0
        req = QueuedRequest(
            request_id=f"{self._document.name}-{self._rng.getrandbits(48):012x}",
            service=self._document.name,
            class_name=cls.name,
            tier=cls.tier,
            protected=cls.protected,
            customer=customer.name,
            arrived_s=arrived_s,
            deadline_s=arrived_s + cls.deadline_s,
            prompt_tokens=blocks * ENGINE_PROFILE.chunk_tokens + own,
            prefix_keys=tuple(zlib.crc32(key.encode()) for key in keys),
            model=self._document.models[0] if self._document.models else "",
            idempotent=cls.idempotent,
            once_only=cls.once_only,
            max_wait_s=cls.max_wait_s,
            min_share=cls.min_share,
        )
        return Call(req, work, disconnects_at_s=self._disconnects_at(arrived_s))

    def _disconnects_at(self, arrived_s: float) -> float:
        if not self._cls.cancellable or self._rng.random() >= DISCONNECT_FRACTION:
            return math.inf
        return arrived_s + self._rng.expovariate(0.5)
