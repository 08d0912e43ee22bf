"""Decisions as plain code: no sockets, no clocks, no global random numbers."""

from cassiadrum.decisions.actions import Action, Cancel, Dispatch, Hedge, Refuse
from cassiadrum.decisions.byte_budgets import ByteBudget
from cassiadrum.decisions.concurrency_limits import ConcurrencyLimit
from cassiadrum.decisions.cost_estimators import CostEstimator
from cassiadrum.decisions.demand_order_planners import DemandOrderPlanner
from cassiadrum.decisions.dispatchers import Dispatcher
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.endpoint_schedulers import EndpointScheduler
from cassiadrum.decisions.endpoint_states import EndpointState
from cassiadrum.decisions.engine_orders import EngineOrder
from cassiadrum.decisions.fixed_limits import FixedLimit
from cassiadrum.decisions.health_states import HealthState
from cassiadrum.decisions.latency_targets import LatencyTargets
from cassiadrum.decisions.latency_tracking_limits import LatencyTrackingLimit
from cassiadrum.decisions.least_outstanding_choosers import LeastOutstandingChooser
from cassiadrum.decisions.load_demands import LoadDemand
from cassiadrum.decisions.order_kinds import OrderKind
from cassiadrum.decisions.order_planners import OrderPlanner
from cassiadrum.decisions.outcomes import Outcome, Ran
from cassiadrum.decisions.outlier_detectors import OutlierDetector
from cassiadrum.decisions.own_streams import OwnStream
from cassiadrum.decisions.pause_preemptions import PausePreemption
from cassiadrum.decisions.preemption_policies import PreemptionPolicy
from cassiadrum.decisions.prefix_indexes import PrefixIndex
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.running_streams import RunningStream
from cassiadrum.decisions.scheduler_actions import Pause, Reject, Resume, SchedulerAction, Start
from cassiadrum.decisions.strict_tier_queues import StrictTierQueue
from cassiadrum.decisions.weighted_choosers import WeightedChooser

__all__ = [
    "Action",
    "ByteBudget",
    "Cancel",
    "ConcurrencyLimit",
    "CostEstimator",
    "DemandOrderPlanner",
    "Dispatch",
    "Dispatcher",
    "EndpointChooser",
    "EndpointReport",
    "EndpointScheduler",
    "EndpointState",
    "EngineOrder",
    "FixedLimit",
    "HealthState",
    "Hedge",
    "LatencyTargets",
    "LatencyTrackingLimit",
    "LeastOutstandingChooser",
    "LoadDemand",
    "OrderKind",
    "OrderPlanner",
    "Outcome",
    "OutlierDetector",
    "OwnStream",
    "Pause",
    "PausePreemption",
    "PreemptionPolicy",
    "PrefixIndex",
    "QueuedRequest",
    "Ran",
    "Refuse",
    "Reject",
    "RequestQueue",
    "Resume",
    "RunningStream",
    "SchedulerAction",
    "Start",
    "StrictTierQueue",
    "WeightedChooser",
]
