"""Charge for a popped request, kept in case the request is requeued."""

from typing import NamedTuple

__all__ = ["QueueCharge"]


class QueueCharge(NamedTuple):
    """A popped request's tokens and serial number, and the advance of its class's share tag."""

    tokens: float
    serial: int
    share_advance: float
