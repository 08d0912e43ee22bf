"""Pure decision logic: no I/O, no clock reads and no global random state."""

from cassiadrum.decisions.actions import Action, Cancel, Dispatch, Hedge, Refuse
from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.attempt_tables import AttemptTable
from cassiadrum.decisions.budget_retry_policies import BudgetRetryPolicy
from cassiadrum.decisions.byte_budgets import ByteBudget
from cassiadrum.decisions.cancelled_copies import CancelledCopies, CancelledCopy
from cassiadrum.decisions.class_queues import ClassQueue
from cassiadrum.decisions.concurrency_limits import ConcurrencyLimit
from cassiadrum.decisions.cost_estimators import CostEstimator
from cassiadrum.decisions.customer_queues import CustomerQueue
from cassiadrum.decisions.deadline_admissions import DeadlineAdmission
from cassiadrum.decisions.demand_order_planners import DemandOrderPlanner
from cassiadrum.decisions.dispatched_streams import DispatchedStream
from cassiadrum.decisions.dispatchers import Dispatcher
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.endpoint_schedulers import EndpointScheduler
from cassiadrum.decisions.endpoint_states import EndpointState
from cassiadrum.decisions.engine_orders import EngineOrder
from cassiadrum.decisions.fair_tier_queues import FairTierQueue
from cassiadrum.decisions.fixed_limits import FixedLimit
from cassiadrum.decisions.health_states import HealthState
from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.latency_targets import LatencyTargets
from cassiadrum.decisions.latency_tracking_limits import LatencyTrackingLimit
from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.least_cost_choosers import LeastCostChooser
from cassiadrum.decisions.least_outstanding_choosers import LeastOutstandingChooser
from cassiadrum.decisions.length_estimators import LengthEstimator
from cassiadrum.decisions.log_histograms import LogHistogram
from cassiadrum.decisions.min_share_schedulers import MinShareScheduler
from cassiadrum.decisions.model_demands import ModelDemand
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.order_kinds import OrderKind
from cassiadrum.decisions.order_planners import OrderPlanner
from cassiadrum.decisions.outcomes import ExecutionStatus, Outcome
from cassiadrum.decisions.outlier_detectors import OutlierDetector
from cassiadrum.decisions.pause_preemptions import PausePreemption
from cassiadrum.decisions.preemption_policies import PreemptionPolicy
from cassiadrum.decisions.prefix_indexes import PrefixIndex
from cassiadrum.decisions.prefix_keys import prefix_keys
from cassiadrum.decisions.quantile_length_estimators import QuantileLengthEstimator
from cassiadrum.decisions.queue_charges import QueueCharge
from cassiadrum.decisions.queue_entries import QueueEntry
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.retry_policies import RetryPolicy
from cassiadrum.decisions.running_streams import RunningStream
from cassiadrum.decisions.scheduler_actions import Pause, Reject, Resume, SchedulerAction, Start
from cassiadrum.decisions.service_rates import ServiceRate
from cassiadrum.decisions.service_snapshots import ServiceSnapshot
from cassiadrum.decisions.strict_tier_queues import StrictTierQueue
from cassiadrum.decisions.tracked_requests import TrackedRequest
from cassiadrum.decisions.wait_bounds import wait_bound_s
from cassiadrum.decisions.wait_predictors import WaitPredictor
from cassiadrum.decisions.waste_bound_hedge_policies import WasteBoundHedgePolicy

__all__ = [
    "Action",
    "Admission",
    "Admitted",
    "AttemptTable",
    "BudgetRetryPolicy",
    "ByteBudget",
    "Cancel",
    "CancelledCopies",
    "CancelledCopy",
    "ClassQueue",
    "ConcurrencyLimit",
    "CostEstimator",
    "CustomerQueue",
    "DeadlineAdmission",
    "DemandOrderPlanner",
    "Dispatch",
    "DispatchedStream",
    "Dispatcher",
    "EndpointChooser",
    "EndpointReport",
    "EndpointScheduler",
    "EndpointState",
    "EngineOrder",
    "ExecutionStatus",
    "FairTierQueue",
    "FixedLimit",
    "HealthState",
    "Hedge",
    "HedgePolicy",
    "LatencyTargets",
    "LatencyTrackingLimit",
    "LazyHeap",
    "LeastCostChooser",
    "LeastOutstandingChooser",
    "LengthEstimator",
    "LogHistogram",
    "MinShareScheduler",
    "ModelDemand",
    "OperationCounter",
    "OrderKind",
    "OrderPlanner",
    "Outcome",
    "OutlierDetector",
    "Pause",
    "PausePreemption",
    "PreemptionPolicy",
    "PrefixIndex",
    "QuantileLengthEstimator",
    "QueueCharge",
    "QueueEntry",
    "QueuedRequest",
    "Refuse",
    "Reject",
    "Rejected",
    "RequestQueue",
    "Resume",
    "RetryPolicy",
    "RunningStream",
    "SchedulerAction",
    "ServiceRate",
    "ServiceSnapshot",
    "Start",
    "StrictTierQueue",
    "TrackedRequest",
    "WaitPredictor",
    "WasteBoundHedgePolicy",
    "prefix_keys",
    "wait_bound_s",
]
