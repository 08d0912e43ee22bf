"""Decisions as plain code: no sockets, no clocks, no global random numbers."""

from cassiadrum.decisions.actions import Action, Cancel, Dispatch, Hedge, Refuse
from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.attempt_tables import AttemptTable
from cassiadrum.decisions.budget_retry_policies import BudgetRetryPolicy
from cassiadrum.decisions.cancelled_copies import CancelledCopies, CancelledCopy
from cassiadrum.decisions.class_queues import ClassQueue
from cassiadrum.decisions.customer_lanes import CustomerLane
from cassiadrum.decisions.deadline_admissions import DeadlineAdmission
from cassiadrum.decisions.dispatchers import Dispatcher
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.endpoint_schedulers import EndpointScheduler
from cassiadrum.decisions.fair_tier_queues import FairTierQueue
from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.least_outstanding_choosers import LeastOutstandingChooser
from cassiadrum.decisions.length_estimators import LengthEstimator
from cassiadrum.decisions.log_histograms import LogHistogram
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.outcomes import Outcome, Ran
from cassiadrum.decisions.quantile_length_estimators import QuantileLengthEstimator
from cassiadrum.decisions.queue_charges import QueueCharge
from cassiadrum.decisions.queue_entries import QueueEntry
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.retry_policies import RetryPolicy
from cassiadrum.decisions.scheduler_actions import Pause, Reject, Resume, SchedulerAction, Start
from cassiadrum.decisions.service_rates import ServiceRate
from cassiadrum.decisions.service_views import ServiceView
from cassiadrum.decisions.share_ledgers import ShareLedger
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
    "Cancel",
    "CancelledCopies",
    "CancelledCopy",
    "ClassQueue",
    "CustomerLane",
    "DeadlineAdmission",
    "Dispatch",
    "Dispatcher",
    "EndpointChooser",
    "EndpointReport",
    "EndpointScheduler",
    "FairTierQueue",
    "Hedge",
    "HedgePolicy",
    "LazyHeap",
    "LeastOutstandingChooser",
    "LengthEstimator",
    "LogHistogram",
    "OperationCounter",
    "Outcome",
    "Pause",
    "QuantileLengthEstimator",
    "QueueCharge",
    "QueueEntry",
    "QueuedRequest",
    "Ran",
    "Refuse",
    "Reject",
    "Rejected",
    "RequestQueue",
    "Resume",
    "RetryPolicy",
    "SchedulerAction",
    "ServiceRate",
    "ServiceView",
    "ShareLedger",
    "Start",
    "StrictTierQueue",
    "TrackedRequest",
    "WaitPredictor",
    "WasteBoundHedgePolicy",
    "wait_bound_s",
]
