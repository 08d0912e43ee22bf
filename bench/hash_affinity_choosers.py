"""Endpoint choice by a hash of the prompt prefix."""

import xxhash

from bench.dispatch_counting_choosers import DispatchCountingChooser
from cassiadrum.decisions import QueuedRequest

__all__ = ["HashAffinityChooser"]


class HashAffinityChooser(DispatchCountingChooser):
    """Sends equal prefixes to the same endpoint by rendezvous hashing.

    Requests for a full endpoint go to the next one in rank.
    """

    def pick(self, free: list[str], req: QueuedRequest) -> str:
        key = req.prefix_keys[-1] if req.prefix_keys else req.customer
        return max(free, key=lambda name: xxhash.xxh64_intdigest(f"{key}/{name}".encode()))
