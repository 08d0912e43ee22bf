"""What a popped request was charged."""

from typing import NamedTuple

__all__ = ["QueueCharge"]


class QueueCharge(NamedTuple):
    """Hold a popped request's estimated tokens and the advance of its class's share tag."""

    tokens: float
    share_advance: float
