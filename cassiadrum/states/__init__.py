"""State that processes share through the table service: claims, leases and configurations."""

from cassiadrum.states.accept_results import (
    Accepted,
    AcceptResult,
    Conflicted,
    Invalid,
    NotAccepted,
    Unresolved,
)
from cassiadrum.states.claim_cleaners import ClaimCleaner
from cassiadrum.states.claim_keys import ClaimKey
from cassiadrum.states.claim_records import ClaimRecord, ClaimState
from cassiadrum.states.claim_results import (
    AlreadyCompleted,
    Claimed,
    ClaimResult,
    InProgress,
    KeyReused,
    OutcomeUnknown,
    StoreUnavailable,
)
from cassiadrum.states.claim_services import CLAIM_TABLE, ClaimService
from cassiadrum.states.configuration_histories import HISTORY_VERSIONS, ConfigurationHistory
from cassiadrum.states.configuration_readers import ConfigurationReader, poll_interval_s
from cassiadrum.states.configuration_records import ConfigurationRecord
from cassiadrum.states.configuration_registries import ConfigurationRegistry
from cassiadrum.states.configuration_writers import CONFIG_TABLE, ConfigurationWriter
from cassiadrum.states.errors import FencingRefused, InvalidRecord, LeaseLost, StateError
from cassiadrum.states.fencing_guards import FencingGuard
from cassiadrum.states.kept_answers import KeptAnswer
from cassiadrum.states.lease_managers import LEASE_TABLE, LeaseManager
from cassiadrum.states.lease_records import LeaseRecord
from cassiadrum.states.lease_state_machines import LeaseStateMachine, LeaseWrite

__all__ = [
    "CLAIM_TABLE",
    "CONFIG_TABLE",
    "HISTORY_VERSIONS",
    "LEASE_TABLE",
    "AcceptResult",
    "Accepted",
    "AlreadyCompleted",
    "ClaimCleaner",
    "ClaimKey",
    "ClaimRecord",
    "ClaimResult",
    "ClaimService",
    "ClaimState",
    "Claimed",
    "ConfigurationHistory",
    "ConfigurationReader",
    "ConfigurationRecord",
    "ConfigurationRegistry",
    "ConfigurationWriter",
    "Conflicted",
    "FencingGuard",
    "FencingRefused",
    "InProgress",
    "Invalid",
    "InvalidRecord",
    "KeptAnswer",
    "KeyReused",
    "LeaseLost",
    "LeaseManager",
    "LeaseRecord",
    "LeaseStateMachine",
    "LeaseWrite",
    "NotAccepted",
    "OutcomeUnknown",
    "StateError",
    "StoreUnavailable",
    "Unresolved",
    "poll_interval_s",
]
