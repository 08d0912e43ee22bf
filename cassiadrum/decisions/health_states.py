"""Health of an endpoint as judged by an entry instance."""

from enum import StrEnum

__all__ = ["HealthState"]


class HealthState(StrEnum):
    """Health of an endpoint, which determines how much new work it gets."""

    HEALTHY = "healthy"
    PROBATION = "probation"  # one request of this entry instance at a time
    EJECTED = "ejected"  # no new requests
