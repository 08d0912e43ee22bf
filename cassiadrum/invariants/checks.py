"""Check of a fleet record against all rules."""

from typing import Final

from cassiadrum.invariants.configuration_monotonic_rules import ConfigurationMonotonicRule
from cassiadrum.invariants.eventual_service_rules import EventualServiceRule
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.leaving_endpoint_rules import LeavingEndpointRule
from cassiadrum.invariants.once_only_rules import OnceOnlyRule
from cassiadrum.invariants.planned_stop_rules import PlannedStopRule
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.tier_safety_rules import TierSafetyRule
from cassiadrum.invariants.truthful_not_run_rules import TruthfulNotRunRule
from cassiadrum.invariants.violations import Violation
from cassiadrum.invariants.whole_answer_rules import WholeAnswerRule

__all__ = ["RULES", "check_record"]

RULES: Final[tuple[Rule, ...]] = (
    TierSafetyRule(),
    EventualServiceRule(),
    WholeAnswerRule(),
    TruthfulNotRunRule(),
    OnceOnlyRule(),
    LeavingEndpointRule(),
    PlannedStopRule(),
    ConfigurationMonotonicRule(),
)


def check_record(record: FleetRecord) -> list[Violation]:
    """Return the violations of all eight invariants, in the order of the design page."""
    return [violation for rule in RULES for violation in rule.check(record)]
