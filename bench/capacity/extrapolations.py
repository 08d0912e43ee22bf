"""Extrapolation of the measured lines to the target size."""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from bench.capacity.fits import Fit

__all__ = [
    "EXTRAPOLATIONS",
    "LIMITS_AT_TARGET",
    "Extrapolation",
    "RoleTotal",
    "read_fit",
    "totals",
]

# Target size, from section 1.8 of docs/design.md.
ENTRIES: Final = 2300
ENGINES: Final = 7300
REQUESTS_PER_S: Final = 66_000
CUSTOMERS: Final = 39_000
SERVICES: Final = 17
CHANGES_PER_S: Final = 7900 / 86_400
LINKS_PER_ENTRY: Final = 64
LINKS_PER_SIDECAR: Final = 20
MAX_QUEUED_REQUESTS: Final = 2048
EVENT_RING_SIZE: Final = 16_384
# A sidecar retains finished answers for 60 s.
RETAINED_ANSWERS: Final = REQUESTS_PER_S / ENGINES * 60
LIMITS_AT_TARGET: Final = {"MB": 64.0, "% of a core": 4.7, "B/s": 6000.0}


class Extrapolation(NamedTuple):
    """Value of a series' fitted line at `x`, times `factor` to convert it to `unit`.

    `slope_only` leaves out the intercept, the cost of the process without the resource.
    """

    role: str
    resource: str
    series: str
    x: float
    factor: float
    unit: str
    slope_only: bool = False

    def value(self, report: Mapping[str, Any]) -> float:
        """Return the figure at the target size."""
        fit = read_fit(report, self.series)
        return self.factor * (fit.slope * self.x if self.slope_only else fit.value_at(self.x))


class RoleTotal(NamedTuple):
    """Sum of a role's extrapolations in one unit and its limit."""

    role: str
    unit: str
    value: float
    limit: float


REQUESTS_PER_ENTRY: Final = REQUESTS_PER_S / ENTRIES

EXTRAPOLATIONS: Final = (
    Extrapolation("entry", "links", "dialer_link_memory_bytes", LINKS_PER_ENTRY, 1e-6, "MB", True),
    Extrapolation("entry", "endpoints of the subset", "endpoint_memory_bytes", 64, 1e-6, "MB"),
    Extrapolation("entry", "services", "service_memory_bytes", SERVICES, 1e-6, "MB"),
    Extrapolation("entry", "customers", "customer_memory_bytes", CUSTOMERS, 1e-6, "MB"),
    Extrapolation(
        "entry", "full queue", "queue_memory_bytes", MAX_QUEUED_REQUESTS, 1e-6, "MB", True
    ),
    Extrapolation("entry", "full event ring", "event_memory_bytes", EVENT_RING_SIZE, 1e-6, "MB"),
    Extrapolation(
        "entry", "links at rest", "dialer_link_cpu_us_per_s", LINKS_PER_ENTRY, 1e-4, "% of a core"
    ),
    Extrapolation(
        "entry",
        "configuration changes",
        "change_time_us",
        CHANGES_PER_S,
        1e-4,
        "% of a core",
        True,
    ),
    Extrapolation(
        "entry", "links at rest", "link_control_bytes_per_s", LINKS_PER_ENTRY, 1.0, "B/s", True
    ),
    Extrapolation(
        "sidecar", "links", "sidecar_link_memory_bytes", LINKS_PER_SIDECAR, 1e-6, "MB", True
    ),
    Extrapolation("sidecar", "services", "service_memory_bytes", SERVICES, 1e-6, "MB"),
    Extrapolation("sidecar", "full event ring", "event_memory_bytes", EVENT_RING_SIZE, 1e-6, "MB"),
    Extrapolation(
        "sidecar", "kept answers", "kept_answer_memory_bytes", RETAINED_ANSWERS, 1e-6, "MB"
    ),
    Extrapolation(
        "sidecar",
        "links at rest",
        "sidecar_link_cpu_us_per_s",
        LINKS_PER_SIDECAR,
        1e-4,
        "% of a core",
    ),
    Extrapolation(
        "sidecar",
        "configuration changes",
        "change_time_us",
        CHANGES_PER_S,
        1e-4,
        "% of a core",
        True,
    ),
    Extrapolation(
        "sidecar", "links at rest", "link_control_bytes_per_s", LINKS_PER_SIDECAR, 1.0, "B/s", True
    ),
)


def read_fit(report: Mapping[str, Any], series: str) -> Fit:
    """Return the fitted line of a series in the report."""
    entry = report["series"][series]
    return Fit(*(entry[field] for field in Fit._fields))


def totals(report: Mapping[str, Any]) -> list[RoleTotal]:
    """Return the sums of each role and unit; memory includes that of the idle daemon."""
    found = []
    for role in ("entry", "sidecar"):
        for unit, limit in LIMITS_AT_TARGET.items():
            parts = [e for e in EXTRAPOLATIONS if (e.role, e.unit) == (role, unit)]
            value = sum(part.value(report) for part in parts)
            if unit == "MB":
                value += report["rest"][f"{role}_idle_mb"]
            found.append(RoleTotal(role, unit, value, limit))
    return found
