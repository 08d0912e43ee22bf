"""Injected network outage."""

from typing import NamedTuple

__all__ = ["Outage"]


class Outage(NamedTuple):
    """Period in which an instance could not reach its peers; an empty instance means all.

    Times are in seconds since the epoch.
    """

    instance: str
    since_s: float
    until_s: float
