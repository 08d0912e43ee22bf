"""Metrics of the daemons; aioprometheus is imported only if metrics are rendered."""

from cassiadrum.metrics.customer_rankings import CustomerRanking
from cassiadrum.metrics.loop_delays import LoopDelay
from cassiadrum.metrics.metric_definitions import (
    DEFINITIONS,
    GATEWAY_DEFINITIONS,
    MetricDefinition,
)
from cassiadrum.metrics.metric_exporters import make_registry
from cassiadrum.metrics.role_metrics import RoleMetrics

__all__ = [
    "DEFINITIONS",
    "GATEWAY_DEFINITIONS",
    "CustomerRanking",
    "LoopDelay",
    "MetricDefinition",
    "RoleMetrics",
    "make_registry",
]
