"""What a load sends, and when."""

import json
import random
from typing import NamedTuple

from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["LoadPlan", "PlannedRequest"]

# A few large customers send most of the requests.
CUSTOMER_WEIGHTS = (12, 8, 6, 1, 1, 1, 1, 1, 1, 1)
TOPICS = ("clapper of bell 3", "skylight release in June", "yoke bearing", "council condition 14")


class PlannedRequest(NamedTuple):
    """One request of the plan; `at_s` is its time of arrival after the start, in seconds."""

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
    """Requests in order of arrival."""

    requests: tuple[PlannedRequest, ...]

    @classmethod
    def mixed(
        cls, documents: list[ServiceDocument], rate_per_s: float, duration_s: float, seed: int
    ) -> "LoadPlan":
        """Return Poisson arrivals spread evenly over the classes of all documents."""
        rng = random.Random(seed)
        classes = [(doc, request_class) for doc in documents for request_class in doc.classes]
        requests: list[PlannedRequest] = []
        at_s = 0.0
        while True:
            at_s += rng.expovariate(rate_per_s)
            if at_s >= duration_s:
                return cls(tuple(requests))
            document, request_class = rng.choice(classes)
            number = len(requests)
            requests.append(_plan(document, request_class, at_s, f"{seed}-{number}", rng))


def _plan(
    document: ServiceDocument, cls: RequestClass, at_s: float, name: str, rng: random.Random
) -> PlannedRequest:
    index = rng.choices(range(len(CUSTOMER_WEIGHTS)), CUSTOMER_WEIGHTS)[0]
    customer = f"customer-{index + 1}"
    if document.kind == "model":
        prompt = f"{rng.choice(TOPICS)}, request {name}"
        target = f"/services/{document.name}{_model_path(cls)}"
        body = {"model": document.models[0], "stream": rng.random() < 0.8, "max_tokens": 48}
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
