"""The requests of a load and their times of arrival."""

import json
import random
from collections.abc import Iterator
from typing import NamedTuple

from cassiadrum.documents import RequestClass, ServiceDocument
from cassiadrum.loads.load_mixes import Burst, ClassRate, LoadMix

__all__ = ["MAX_TOKENS", "LoadPlan", "PlannedRequest"]

MAX_TOKENS = 48
STREAMED_SHARE = 0.8
# Relative request rates of the customers: a few large ones send most of the requests.
CUSTOMER_WEIGHTS = (12, 8, 6, 1, 1, 1, 1, 1, 1, 1)
TOPICS = ("clapper of bell 3", "skylight release in June", "yoke bearing", "council condition 14")


class PlannedRequest(NamedTuple):
    """One request of the plan; `at_s` is its time of arrival, in seconds after the start."""

    at_s: float
    service: str
    class_name: str
    customer: str
    method: str
    target: str
    body: bytes
    key: str
    prompt: str


class LoadPlan(NamedTuple):
    """The requests of a load in order of arrival."""

    requests: tuple[PlannedRequest, ...]

    @classmethod
    def uniform_mix(
        cls, documents: list[ServiceDocument], rate_per_s: float, duration_s: float, seed: int
    ) -> "LoadPlan":
        """Return Poisson arrivals, distributed uniformly over the classes of all documents."""
        rng = random.Random(seed)
        classes = [(doc, request_class) for doc in documents for request_class in doc.classes]
        requests: list[PlannedRequest] = []
        at_s = 0.0
        while True:
            at_s += rng.expovariate(rate_per_s)
            if at_s >= duration_s:
                return cls(tuple(requests))
            document, request_class = rng.choice(classes)
            name = f"{seed}-{len(requests)}"
            index = rng.choices(range(len(CUSTOMER_WEIGHTS)), CUSTOMER_WEIGHTS)[0]
            streamed = rng.random() < STREAMED_SHARE
            customer = f"customer-{index + 1}"
            requests.append(
                _plan_request(
                    document, request_class, at_s, name, customer, streamed, rng.choice(TOPICS)
                )
            )

    @classmethod
    def from_mix(cls, mix: LoadMix, seed: int, scale: float = 1.0) -> "LoadPlan":
        """Return Poisson arrivals of each class at its rate times `scale`, with its bursts."""
        requests: list[PlannedRequest] = []
        documents = {document.name: document for document in mix.documents}
        for rate in mix.rates:
            # Seeded by class, so that adding classes to the mix does not change its arrivals.
            rng = random.Random(f"{seed} {rate.service} {rate.name}")
            document = documents[rate.service]
            request_class = document.find_class(rate.name)
            assert request_class is not None  # checked by load_mix
            for number, at_s in enumerate(_arrival_times(mix, rate, scale, rng)):
                name = f"{seed}-{rate.name}-{number}"
                customer, streamed = _choose_customer(mix, rng), rng.random() < mix.streamed_share
                topic = rng.choice(TOPICS)
                requests.append(
                    _plan_request(document, request_class, at_s, name, customer, streamed, topic)
                )
        return cls(tuple(sorted(requests)))


def _arrival_times(
    mix: LoadMix, rate: ClassRate, scale: float, rng: random.Random
) -> Iterator[float]:
    """Yield the arrival times of a class, thinning a Poisson process at its peak rate."""
    bursts = [b for b in mix.bursts if (b.service, b.name) == (rate.service, rate.name)]
    peak_factor = 1.0
    for burst in bursts:
        peak_factor *= max(1.0, burst.factor)
    at_s = rng.expovariate(rate.rate_per_s * scale * peak_factor)
    while at_s < mix.duration_s:
        if rng.random() * peak_factor < _burst_factor(bursts, at_s):
            yield at_s
        at_s += rng.expovariate(rate.rate_per_s * scale * peak_factor)


def _burst_factor(bursts: list[Burst], at_s: float) -> float:
    factor = 1.0
    for burst in bursts:
        if burst.start_s <= at_s < burst.start_s + burst.duration_s:
            factor *= burst.factor
    return factor


def _choose_customer(mix: LoadMix, rng: random.Random) -> str:
    large = mix.large_customers
    if large == mix.customers or rng.random() < mix.large_share:
        return f"customer-{rng.randrange(large) + 1}"
    return f"customer-{rng.randrange(large, mix.customers) + 1}"


def _plan_request(
    document: ServiceDocument,
    cls: RequestClass,
    at_s: float,
    name: str,
    customer: str,
    streamed: bool,
    topic: str,
) -> PlannedRequest:
    if document.kind == "model":
        prompt = f"{topic}, request {name}"
        target = f"/services/{document.name}{_model_path(cls)}"
        body: dict[str, object] = {"stream": streamed, "max_tokens": MAX_TOKENS}
        if document.models:
            body["model"] = document.models[0]
        if target.endswith("/chat/completions"):
            body["messages"] = [{"role": "user", "content": prompt}]
        else:
            body["prompt"] = prompt
        encoded = json.dumps(body).encode()
        return PlannedRequest(
            at_s, document.name, cls.name, customer, "POST", target, encoded, "", prompt
        )
    method = cls.methods[0] if cls.methods else "GET"
    target = f"/services/{document.name}{cls.path_prefix.rstrip('/')}/{name}"
    encoded = json.dumps({"name": name}).encode() if method == "POST" else b""
    key = f"key-{name}" if cls.once_only else ""
    return PlannedRequest(
        at_s, document.name, cls.name, customer, method, target, encoded, key, ""
    )


def _model_path(cls: RequestClass) -> str:
    full = cls.path_prefix.endswith("completions")
    return cls.path_prefix if full else "/v1/chat/completions"
