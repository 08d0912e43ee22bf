"""Rules that check the invariants of the design page against the record of all processes.

There is one rule for each invariant; its module lists the events and fields that it needs.
`FleetRecord.killed` and `FleetRecord.outages` hold the faults that were injected. A record with
missing events is only partly checked, so tests also assert that `FleetRecord.missing_events` is 0.
"""

from cassiadrum.invariants.caller_outcomes import CallerOutcome
from cassiadrum.invariants.checks import RULES, check_record
from cassiadrum.invariants.configuration_monotonic_rules import ConfigurationMonotonicRule
from cassiadrum.invariants.endpoint_runs import EndpointRun
from cassiadrum.invariants.eventual_service_rules import EventualServiceRule
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.leaving_endpoint_rules import LeavingEndpointRule
from cassiadrum.invariants.once_only_rules import OnceOnlyRule
from cassiadrum.invariants.outages import Outage
from cassiadrum.invariants.planned_stop_rules import PlannedStopRule
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.tier_safety_rules import TierSafetyRule
from cassiadrum.invariants.truthful_not_run_rules import TruthfulNotRunRule
from cassiadrum.invariants.violations import Violation
from cassiadrum.invariants.whole_answer_rules import WholeAnswerRule

__all__ = [
    "RULES",
    "CallerOutcome",
    "ConfigurationMonotonicRule",
    "EndpointRun",
    "EventualServiceRule",
    "FleetRecord",
    "LeavingEndpointRule",
    "OnceOnlyRule",
    "Outage",
    "PlannedStopRule",
    "Rule",
    "TierSafetyRule",
    "TruthfulNotRunRule",
    "Violation",
    "WholeAnswerRule",
    "check_record",
]
