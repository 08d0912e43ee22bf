"""What a queue remembers of a popped request, in case it comes back."""

from typing import NamedTuple

__all__ = ["QueueCharge"]


class QueueCharge(NamedTuple):
    """Hold a popped request's tokens, its serial number and the advance of its class's tag."""

    tokens: float
    serial: int
    share_advance: float
