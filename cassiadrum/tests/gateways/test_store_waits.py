"""Tests of the time limits for the contact with the store."""

import json

import pytest

from cassiadrum.platform.node_settings import parse_node_settings
from cassiadrum.platform.store_waits import StoreWaits
from cassiadrum.tests.gateways.sites import make_settings

# Callers with valid keys must be served in an outage of the store for this fraction of the time
# after which a revoked key must no longer be served.
MIN_BRIDGED_FRACTION = 0.6
# Longest transit time of an answer.
MAX_TRANSIT_S = 0.05


class TestStoreWaits:
    """Guards against store time limits that are too short or too long for the bounds.

    Callers with valid keys would be refused early in an outage of the store, revoked keys would
    be served too long, or a draining endpoint would be noticed too late.
    """

    @pytest.mark.parametrize(
        ("contact_ms", "revoke_ms"), [(3000, 5000), (4000, 5000), (1500, 2500)]
    )
    def test_outage_is_bridged(self, contact_ms: int, revoke_ms: int) -> None:
        raw = make_settings(1, 2, 3)
        raw["bounds"] |= {"contact_ms": contact_ms, "revoke_ms": revoke_ms}
        bounds = parse_node_settings(json.dumps(raw).encode()).bounds
        waits = StoreWaits.from_bounds(bounds)
        bridged_s = waits.confirmed_s - waits.change_s - MAX_TRANSIT_S
        assert bridged_s >= MIN_BRIDGED_FRACTION * bounds.revoke_s
        assert waits.confirmed_s < bounds.revoke_s

    @pytest.mark.parametrize("drain_ms", [1000, 2000, 3000, 4000])
    def test_draining_endpoint_is_noticed_in_time(self, drain_ms: int) -> None:
        """Guards against requests to an endpoint that drained during a long poll of the store."""
        raw = make_settings(1, 2, 3)
        raw["bounds"] |= {"drain_ms": drain_ms}
        bounds = parse_node_settings(json.dumps(raw).encode()).bounds
        waits = StoreWaits.from_bounds(bounds)
        assert waits.change_s + 2 * MAX_TRANSIT_S < bounds.drain_s
