"""A request as the decisions see it."""

import math
from typing import NamedTuple

__all__ = ["QueuedRequest"]


class QueuedRequest(NamedTuple):
    """Hold what admission, order and endpoint choice need to know of one request.

    `arrived_s` and `deadline_s` are monotonic seconds; `deadline_s` is infinite without a
    deadline. `prompt_tokens` and `max_tokens` are counts; `max_tokens` 0 means not stated.
    `prefix_keys` are hashes of the prompt's leading blocks, longest prefix last. `weight` is the
    customer's share relative to other customers of the class.
    """

    request_id: str
    service: str
    class_name: str
    tier: int
    protected: bool
    customer: str
    arrived_s: float
    deadline_s: float = math.inf
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_keys: tuple[int, ...] = ()
    model: str = ""
    adapter: str = ""
    idempotent: bool = False
    once_only: bool = False
    attempt: int = 0
    max_wait_s: float = 30.0
    min_share: float = 0.05
    weight: float = 1.0
