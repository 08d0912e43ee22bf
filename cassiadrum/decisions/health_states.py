"""The health of an endpoint as an entry instance sees it."""

from enum import StrEnum

__all__ = ["HealthState"]


class HealthState(StrEnum):
    """Tell how much new work an endpoint gets."""

    HEALTHY = "healthy"
    PROBATION = "probation"  # one own request at a time
    EJECTED = "ejected"  # none
