"""Property tests of gateways with lost, late and repeated answers of the store."""

import json

from hypothesis import strategies as st
from hypothesis.stateful import rule

from cassiadrum.platform.followed_tables import FollowedTable
from cassiadrum.platform.table_sinks import CONFIGURATION_KEY, CONFIGURATION_TABLE, ENDPOINT_TABLE
from cassiadrum.tests.gateways.sites import make_configuration
from cassiadrum.tests.gateways.store_machines import (
    INSTANCES,
    MACHINE_SETTINGS,
    RETURN_GRACE_S,
    SERVICE,
    ConfigurationMachine,
    StoreMachine,
    instances,
    transit_s,
)


class EndpointMachine(StoreMachine):
    """Compare the usable endpoints with the registered ones."""

    @rule(instance=instances, state=st.sampled_from(["ready", "draining"]))
    def register(self, instance: str, state: str) -> None:
        entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "a", "slots": 4}
        entry |= {"state": state, "born": 1, "cold_left_ms": 0, "seq": 1, "version": "v1"}
        self.store.write(ENDPOINT_TABLE, instance, json.dumps(entry).encode())

    @rule(instance=instances, content=st.sampled_from([None, b"", b"{}", b"nonsense"]))
    def remove_or_corrupt(self, instance: str, content: bytes | None) -> None:
        self.store.write(ENDPOINT_TABLE, instance, content)

    def _other_tables(self, endpoints: FollowedTable) -> list[FollowedTable]:
        return [endpoints]

    @rule()
    def accept_configuration(self) -> None:
        """Change the configuration table, whose changes share the version counter of the store."""
        self.newest_version += 1
        content = json.dumps(make_configuration(self.newest_version)).encode()
        self.store.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)

    @rule(
        request_s=transit_s,
        answer_s=transit_s,
        lost=st.booleans(),
        lost_table=st.sampled_from(["", CONFIGURATION_TABLE, ENDPOINT_TABLE]),
    )
    def read_endpoints(
        self, request_s: float, answer_s: float, lost: bool, lost_table: str = ""
    ) -> None:
        before = len(self.store.outcomes)
        self._step_follower(request_s, answer_s, lost, lost_table)
        if any(answer_lost for _, answer_lost in self.store.outcomes[before:]):
            self.endpoints_lost = True
            return
        if self.endpoints_lost:
            self.outage_ended_s = self.store.now
            self.endpoints_lost = False
        self._compare_endpoints()

    @rule(instance=instances)
    def remove_without_history(self, instance: str) -> None:
        """Remove an endpoint and its history, so that only a full read shows the removal."""
        self.register(instance, "ready")
        self.read_endpoints(0.002, 0.002, lost=False)
        self.remove_or_corrupt(instance, None)
        self.forget_history()
        self.read_endpoints(0.002, 0.002, lost=False)

    @rule(instance=instances, wait_s=st.floats(0.0, 4.0))
    def lapse_in_an_outage(self, instance: str, wait_s: float) -> None:
        """Let a registration lapse while no answer arrives; it is kept for a grace period."""
        self.register(instance, "ready")
        self.read_endpoints(0.002, 0.002, lost=False)
        self.read_endpoints(0.002, 0.002, lost=True)
        self.remove_or_corrupt(instance, None)
        self.read_endpoints(0.002, 0.002, lost=False)
        kept = {view.entry.instance for view in self.gateway.directory.usable(SERVICE)}
        assert instance in kept
        self.let_time_pass(wait_s)
        self.read_endpoints(0.002, 0.002, lost=False)

    def _compare_endpoints(self) -> None:
        """Require all ready endpoints, and no others except those that lapsed in an outage."""
        usable = {view.entry.instance for view in self.gateway.directory.usable(SERVICE)}
        states = {name: self._state(name) for name in INSTANCES}
        assert {name for name, state in states.items() if state == "ready"} <= usable
        extra = {name for name in usable if states[name] != "ready"}
        if self.store.now >= self.outage_ended_s + RETURN_GRACE_S:
            self.gateway.directory.expire(self.store.now)
            usable = {view.entry.instance for view in self.gateway.directory.usable(SERVICE)}
            extra = {name for name in usable if states[name] != "ready"}
            assert not extra
        assert not {name for name in extra if states[name] == "draining"}

    def _state(self, instance: str) -> str:
        content = self.store.row(ENDPOINT_TABLE, instance)
        if content in (None, b"", b"{}", b"nonsense"):
            return "gone"
        return str(json.loads(content)["state"])


ConfigurationMachine.TestCase.settings = MACHINE_SETTINGS
EndpointMachine.TestCase.settings = MACHINE_SETTINGS


class TestConfigurations(ConfigurationMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against an older configuration in force, or a replaced one that is confirmed.

    Answers of the store are lost, late or repeated, or the process restarts.
    """


class TestEndpoints(EndpointMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against removed endpoints that are used, and ready ones that are not.

    Answers are lost, the history of changes is dropped, or registrations lapse in an outage.
    """
