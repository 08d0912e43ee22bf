"""Property tests of gateways whose store is restored from older copies."""

import json

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from cassiadrum.platform.followed_tables import FollowedTable
from cassiadrum.platform.table_sinks import CONFIGURATION_KEY, CONFIGURATION_TABLE, ENDPOINT_TABLE
from cassiadrum.tests.gateways.store_machines import (
    CONFIRMATION_LIMIT_S,
    INSTANCES,
    LAPSE_S,
    MACHINE_SETTINGS,
    SERVICE,
    ConfigurationMachine,
    StoreMachine,
    instances,
    transit_s,
)


class RestoredConfigurationMachine(ConfigurationMachine):
    """Restore the store from older copies; the operator writes the newest version again."""

    def __init__(self) -> None:
        super().__init__()
        # Time since which the store contains an older configuration than the one in force.
        self.older_since_s: float | None = None

    @rule(lost_changes=st.integers(1, 6))
    def restore(self, lost_changes: int) -> None:
        self.store.restore(max(0, self.store.version - lost_changes))
        stored = self._stored_version()
        # A process cannot know a version that was lost from the store before it was read.
        lost = [version for version in self.accepted_s if version > stored]
        for version in lost:
            del self.accepted_s[version]
        in_force = (
            self.gateway.configuration.catalog.version
            if self.gateway.configuration.catalog is not None
            else 0
        )
        self.older_since_s = self.store.now if stored < in_force else None

    @rule()
    def lose_a_configuration(self) -> None:
        """Restore the store from a copy just older than a configuration that is in force."""
        self.accept_configuration()
        for _ in range(3):
            self._step_follower(0.002, 0.002, lost=False)
        assert self.gateway.configuration.catalog is not None
        assert self.gateway.configuration.catalog.version == self.newest_version
        self.restore(1)
        for _ in range(3):
            self.let_time_pass(CONFIRMATION_LIMIT_S / 2)
            self._step_follower(0.002, 0.002, lost=False)

    @rule()
    def write_again(self) -> None:
        if self._stored_version() < self.newest_version:
            self._write_configuration(self.newest_version)
            self.accepted_s.setdefault(self.newest_version, self.store.now)

    @rule()
    def restart_the_gateway(self) -> None:
        super().restart_the_gateway()
        self.older_since_s = None

    def _write_configuration(self, version: int) -> None:
        super()._write_configuration(version)
        if version == self.newest_version:
            self.older_since_s = None

    @invariant()
    def confirms_nothing_while_the_store_holds_an_older_one(self) -> None:
        if (
            self.older_since_s is not None
            and self.store.now - self.older_since_s > CONFIRMATION_LIMIT_S
        ):
            assert not self.gateway.configuration.confirmed

    def _stored_version(self) -> int:
        """Return the version of the configuration in the store, 0 if there is none."""
        content = self.store.row(CONFIGURATION_TABLE, CONFIGURATION_KEY)
        return int(json.loads(content)["version"]) if content else 0


class RestoredEndpointMachine(StoreMachine):
    """Restore the store from older copies while endpoints start, drain and die."""

    def __init__(self) -> None:
        super().__init__()
        # Actual state and start time of the newest incarnation of each instance.
        self.actual = dict.fromkeys(INSTANCES, ("gone", 0))
        # The part of `actual` that the gateway had read before the last restore.
        self.last_read: dict[str, tuple[str, int]] = {}
        # Whether all rows equal the last writes of the operator and the endpoints.
        self.rows_are_current = True

    def _other_tables(self, endpoints: FollowedTable) -> list[FollowedTable]:
        return [endpoints]

    @rule(instance=instances)
    def start_endpoint(self, instance: str) -> None:
        self._write(instance, "ready", self.actual[instance][1] + 1)

    @rule(instance=instances)
    def drain(self, instance: str) -> None:
        if self.actual[instance][0] == "ready":
            self._write(instance, "draining", self.actual[instance][1])

    @rule(instance=instances)
    def die(self, instance: str) -> None:
        self._write(instance, "gone", self.actual[instance][1])

    @rule(lost_changes=st.integers(1, 6))
    def restore(self, lost_changes: int) -> None:
        self.store.restore(max(0, self.store.version - lost_changes))
        self.rows_are_current = False

    @rule()
    def write_again(self) -> None:
        for instance, (state, born) in self.actual.items():
            self._write(instance, state, born)
        self.rows_are_current = True

    @rule(request_s=transit_s, answer_s=transit_s)
    def lose_an_answer(self, request_s: float, answer_s: float) -> None:
        self._step_follower(request_s, answer_s, lost=True)

    @rule(answer_s=transit_s)
    def read_all_tables(self, answer_s: float) -> None:
        """Take as many steps as are needed if the restore is noticed late."""
        self._step_follower(0.002, answer_s, lost=False)
        for _ in range(2):
            self._step_follower(0.002, 0.002, lost=False)
        assert self._follower_is_current()
        if self.rows_are_current:
            # Endpoints that lapsed shortly after an outage may be alive: their state is unknown.
            self.last_read = {
                name: incarnation
                for name, incarnation in self.actual.items()
                if not self._may_be_in_grace_period(name)
            }
        self._compare()

    @rule(instance=instances, change=st.sampled_from(["drain", "die", "start_endpoint"]))
    def lose_a_change(self, instance: str, change: str) -> None:
        """Restore the store from a copy just older than a change that was read."""
        self.start_endpoint(instance)
        self.read_all_tables(0.002)
        getattr(self, change)(instance)
        self.read_all_tables(0.002)
        self.restore(1)
        self.read_all_tables(0.002)

    @rule(wait_s=st.floats(0.0, LAPSE_S / 4))
    def let_time_pass(self, wait_s: float) -> None:
        super().let_time_pass(wait_s)
        # Live endpoints register again, and dead registrations lapse, well within LAPSE_S.
        self.write_again()

    def _follower_is_current(self) -> bool:
        """Return whether the last step read all tables up to the current version."""
        return all(
            table.version == self.store.version
            for table in (self.follower._leading_table, *self.follower._other_tables)
        )

    def _compare(self) -> None:
        usable = {
            view.entry.instance: view.entry.started_ms
            for view in self.gateway.directory.usable(SERVICE)
        }
        for instance, (state, born) in self.last_read.items():
            # An incarnation known to have left, died or been replaced is not used again.
            if instance in usable and state != "ready":
                assert usable[instance] > born
            if instance in usable:
                assert usable[instance] >= born
        if self.rows_are_current:
            ready = {name: born for name, (state, born) in self.actual.items() if state == "ready"}
            assert ready.items() <= usable.items()
            extra = usable.keys() - ready.keys()
            assert all(self._may_be_in_grace_period(instance) for instance in extra)

    def _may_be_in_grace_period(self, instance: str) -> bool:
        """Return whether a missing endpoint may be kept because it lapsed in an outage."""
        state, _ = self.actual[instance]
        return state == "gone" and instance in self.gateway.directory._lapsed

    def _write(self, instance: str, state: str, born: int) -> None:
        self.actual[instance] = (state, born)
        entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "a", "slots": 4}
        entry |= {"state": state, "born": born, "cold_left_ms": 0, "seq": 1, "version": "v1"}
        content = None if state == "gone" else json.dumps(entry).encode()
        if content != self.store.row(ENDPOINT_TABLE, instance):
            self.store.write(ENDPOINT_TABLE, instance, content)


RestoredConfigurationMachine.TestCase.settings = MACHINE_SETTINGS
RestoredEndpointMachine.TestCase.settings = MACHINE_SETTINGS


class TestRestoredConfigurations(RestoredConfigurationMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against an older configuration from a restored store in force or confirmed.

    The restored copy lacks the newest configuration until the operator writes it again.
    """


class TestRestoredEndpoints(RestoredEndpointMachine.TestCase):  # type: ignore[misc,valid-type]
    """Guards against endpoints that left or died and return with a restored store.

    The restored copy contains their registrations again. Live endpoints that it lacks, or that
    register after the restore, must still be used.
    """
