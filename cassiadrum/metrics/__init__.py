"""Metrics of the daemon; aioprometheus is loaded only where metrics are rendered."""

from cassiadrum.metrics.customer_ranks import CustomerRanks
from cassiadrum.metrics.exporters import make_registry
from cassiadrum.metrics.metric_definitions import (
    DEFINITIONS,
    GATEWAY_DEFINITIONS,
    MetricDefinition,
)
from cassiadrum.metrics.role_metrics import RoleMetrics

__all__ = [
    "DEFINITIONS",
    "GATEWAY_DEFINITIONS",
    "CustomerRanks",
    "MetricDefinition",
    "RoleMetrics",
    "make_registry",
]
