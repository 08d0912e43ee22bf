"""Stand-ins for the platform's store and endpoints, for tests and trials on loopback."""

from cassiadrum.platform.standins.endpoint_services import EndpointRun, EndpointService
from cassiadrum.platform.standins.row_services import RowService, StoreFault, StoreSnapshot
from cassiadrum.platform.standins.trials import (
    TrialRoute,
    trial_configuration,
    trial_headers,
    trial_settings,
    trial_stream_headers,
)

__all__ = [
    "EndpointRun",
    "EndpointService",
    "RowService",
    "StoreFault",
    "StoreSnapshot",
    "TrialRoute",
    "trial_configuration",
    "trial_headers",
    "trial_settings",
    "trial_stream_headers",
]
