"""Properties of a request that matter to admission, queueing and endpoint selection."""

import math
from typing import NamedTuple

__all__ = ["QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A request as seen by admission, queueing and endpoint selection.

    `arrived_s` and `deadline_s` are monotonic seconds; `deadline_s` is infinite without a
    deadline. `max_tokens` is 0 if not specified. `prefix_keys` are hashes of prefixes of the
    prompt, the longest last. `weight` is the customer's share relative to other customers of the
    class.
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
