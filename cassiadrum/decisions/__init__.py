"""Decisions as plain code: no sockets, no clocks, no global random numbers."""

from cassiadrum.decisions.actions import Action, Cancel, Dispatch, Hedge, Refuse
from cassiadrum.decisions.dispatchers import Dispatcher
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.endpoint_schedulers import EndpointScheduler
from cassiadrum.decisions.least_outstanding_choosers import LeastOutstandingChooser
from cassiadrum.decisions.outcomes import Outcome, Ran
from cassiadrum.decisions.prefix_keys import prefix_keys
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.scheduler_actions import Pause, Reject, Resume, SchedulerAction, Start
from cassiadrum.decisions.strict_tier_queues import StrictTierQueue

__all__ = [
    "Action",
    "Cancel",
    "Dispatch",
    "Dispatcher",
    "EndpointChooser",
    "EndpointReport",
    "EndpointScheduler",
    "Hedge",
    "LeastOutstandingChooser",
    "Outcome",
    "Pause",
    "QueuedRequest",
    "Ran",
    "Refuse",
    "Reject",
    "RequestQueue",
    "Resume",
    "SchedulerAction",
    "Start",
    "StrictTierQueue",
    "prefix_keys",
]
