"""State machines that check a gateway against a model of the platform's store.

The model loses, delays and repeats answers, in virtual time.
"""

import json
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.errors import HistoryGone
from cassiadrum.platform.followed_tables import FollowedTable
from cassiadrum.platform.row_pages import ChangedRow, RowPage
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.store_clients import MAX_RESPONSE_BYTES
from cassiadrum.platform.store_followers import StoreFollower
from cassiadrum.platform.table_reads import TableRead
from cassiadrum.platform.table_sinks import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    ENDPOINT_TABLE,
    ConfigurationSink,
    EndpointSink,
)
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.tests.gateways.sites import make_configuration

CONFIRMATION_LIMIT_S = 4.75
RETURN_GRACE_S = 2.0
LAPSE_S = 5.0
INSTANCES = ("i-0", "i-1", "i-2")
SERVICE = "engine"

# Transit time in seconds of a request or an answer; a request for changes may also wait in the
# store.
transit_s = st.sampled_from([0.002, 0.1, 0.8])
instances = st.sampled_from(INSTANCES)
MACHINE_SETTINGS = settings(max_examples=100, stateful_step_count=40, deadline=None)


def _run_without_waiting(step: Coroutine[None, None, float]) -> None:
    """Run a step of the follower, which never waits because the model answers at once.

    It may suspend for the turn of other tasks, at the end of a time slice.
    """
    while True:
        try:
            awaited = step.send(None)
        except StopIteration:
            return
        assert awaited is None, "the step of the follower waited"


class RowChange(NamedTuple):
    """One write to the store; `content` is None for a removal."""

    version: int
    table: str
    key: str
    content: bytes | None


class ModelStore(RowStore):
    """A store that answers from a list of row changes; its clock is offset by `skew_s`."""

    def __init__(self, skew_s: float) -> None:
        super().__init__(Address("127.0.0.1", 1))
        self.now = 0.0
        self.row_changes: list[RowChange] = []
        # The oldest version from which the history of changes is kept.
        self.oldest_kept_version = 0
        self.lost = False
        # The era that the store sends with each answer.
        self.stated_era = 1
        self.request_transit_s = 0.0
        self.answer_transit_s = 0.0
        # Each answer in order: its table and whether it was lost.
        self.outcomes: list[tuple[str, bool]] = []
        # The only table whose answers are lost, if not empty.
        self.lost_table = ""
        # Called just before and just after an answer is created.
        self.on_arrival: Callable[[], None] = lambda: None
        self.on_departure: Callable[[], None] = lambda: None
        self._skew_s = skew_s

    @property
    def version(self) -> int:
        """Return the newest version."""
        return len(self.row_changes)

    def write(self, table: str, key: str, content: bytes | None) -> None:
        """Write or remove a row."""
        self.row_changes.append(RowChange(self.version + 1, table, key, content))

    def restore(self, version: int) -> None:
        """Restore the copy of a version; later writes are lost."""
        del self.row_changes[version:]
        self.oldest_kept_version = min(self.oldest_kept_version, version)
        self.stated_era += 1

    def row(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, None if it does not exist."""
        found = [item for item in self.row_changes if (item.table, item.key) == (table, key)]
        return found[-1].content if found else None

    async def read_all(self, table: str, read: TableRead | None = None) -> RowPage:
        return self._answer(table, lambda: self._rows(table))

    async def read_changes(
        self, table: str, since: int, wait_s: float, limit_bytes: int = MAX_RESPONSE_BYTES
    ) -> RowPage:
        if not self.oldest_kept_version <= since <= self.version:
            if not self.lost:
                self.era.observe(str(self.stated_era))
            raise HistoryGone(table)
        return self._answer(table, lambda: self._changed_rows(table, since))

    def _rows(self, table: str) -> list[ChangedRow]:
        keys = {item.key for item in self.row_changes if item.table == table}
        rows = [(key, self.row(table, key)) for key in sorted(keys)]
        return [ChangedRow(key, content, 1) for key, content in rows if content is not None]

    def _changed_rows(self, table: str, since: int) -> list[ChangedRow]:
        found = {
            item.key: ChangedRow(item.key, item.content, item.version)
            for item in self.row_changes
            if item.table == table and item.version > since
        }
        return list(found.values())

    def _answer(self, table: str, make_rows: Callable[[], list[ChangedRow]]) -> RowPage:
        """Create an answer between the transit times; callbacks may write before and after."""
        sent_s = self.now
        self.now += self.request_transit_s
        self.on_arrival()
        made_s = self.now
        rows, version, era = make_rows(), self.version, self.stated_era
        self.on_departure()
        self.now += self.answer_transit_s
        lost = self.lost or self.lost_table == table
        self.outcomes.append((table, lost))
        if lost:
            raise StoreUnavailable("answer of the store lost")
        if not self.era.observe(str(era)):
            raise StoreUnavailable("answer of the store from an older era")
        store_s = made_s + self._skew_s
        return RowPage(tuple(rows), version, store_s, sent_s, self.now)


class StoreMachine(RuleBasedStateMachine):
    """Base class: a gateway that follows the model of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.store = ModelStore(skew_s=1234.5)
        # Time at which each configuration version was accepted.
        self.accepted_s: dict[int, float] = {}
        self.newest_version = 0
        self._start()

    def _start(self) -> None:
        cfg = GatewaySettings(
            zone="a",
            retry_ratio=0.2,
            retry_spare=1.0,
            retry_window_s=10.0,
            confirmation_limit_s=CONFIRMATION_LIMIT_S,
            strict_keys=True,
            return_grace_s=RETURN_GRACE_S,
            lapse_s=LAPSE_S,
        )

        def clock() -> float:
            return self.store.now

        self.gateway = Gateway(cfg, PlatformProtocol(), clock, clock)
        configuration = FollowedTable(CONFIGURATION_TABLE, ConfigurationSink(self.gateway))
        endpoints = FollowedTable(ENDPOINT_TABLE, EndpointSink(self.gateway, clock))
        self.follower = StoreFollower(
            self.store, configuration, self._other_tables(endpoints), 0.0
        )
        self.last_version = 0
        self.outage_ended_s = float("-inf")
        self.endpoints_lost = False

    def _other_tables(self, endpoints: FollowedTable) -> list[FollowedTable]:
        """Return the tables that are followed in addition to the configuration."""
        return []

    @rule(wait_s=st.floats(0.0, 6.0))
    def let_time_pass(self, wait_s: float) -> None:
        self.store.now += wait_s
        self.gateway.directory.expire(self.store.now)

    @rule()
    def forget_history(self) -> None:
        self.store.oldest_kept_version = self.store.version + 1

    def _step_follower(
        self, request_s: float, answer_s: float, lost: bool, lost_table: str = ""
    ) -> None:
        """Run a step of the follower; all answers or those about one table may be lost."""
        self.store.request_transit_s, self.store.answer_transit_s = request_s, answer_s
        self.store.lost, self.store.lost_table = lost, lost_table
        _run_without_waiting(self.follower.step())
        self.store.lost_table = ""


class ConfigurationMachine(StoreMachine):
    """Compare the configuration in force with the versions that the operator wrote."""

    @rule()
    def restart_the_gateway(self) -> None:
        self._start()

    @rule()
    def accept_configuration(self) -> None:
        self.newest_version += 1
        self.accepted_s[self.newest_version] = self.store.now
        self._write_configuration(self.newest_version)

    @precondition(lambda self: self.newest_version > 1)
    @rule()
    def read_an_older_configuration(self) -> None:
        """Replace the newest configuration with an older one during one read."""
        for version in (self.newest_version - 1, self.newest_version):
            self._write_configuration(version)
            self._step_follower(0.01, 0.01, lost=False)
            self.never_returns_to_an_older_configuration()

    @rule(
        request_s=transit_s,
        answer_s=transit_s,
        lost=st.booleans(),
        before=st.booleans(),
        after=st.booleans(),
    )
    def read_configurations(
        self, request_s: float, answer_s: float, lost: bool, before: bool, after: bool
    ) -> None:
        """Read while a configuration may be accepted just before or after the answer."""
        if before:
            self.store.on_arrival = self.accept_configuration
        if after:
            self.store.on_departure = self.accept_configuration
        self._step_follower(request_s, answer_s, lost)
        self.store.on_arrival = self.store.on_departure = lambda: None

    @rule(request_s=transit_s, answer_s=transit_s, wait_s=st.floats(0.0, CONFIRMATION_LIMIT_S))
    def lose_the_store_after_an_answer(
        self, request_s: float, answer_s: float, wait_s: float
    ) -> None:
        """Replace the configuration while the first answer to a new process is in transit."""
        self._start()
        self.read_configurations(request_s, answer_s, lost=False, before=False, after=True)
        self.let_time_pass(wait_s)

    @invariant()
    def never_returns_to_an_older_configuration(self) -> None:
        catalog = self.gateway.configuration.catalog
        version = catalog.version if catalog is not None else 0
        assert version >= self.last_version
        self.last_version = version

    @invariant()
    def confirms_no_superseded_configuration(self) -> None:
        if not self.gateway.configuration.confirmed:
            return
        now = self.store.now
        due = [
            version
            for version, at_s in self.accepted_s.items()
            if now - at_s > CONFIRMATION_LIMIT_S
        ]
        assert self.gateway.configuration.catalog is not None
        assert self.gateway.configuration.catalog.version >= max(due, default=0)

    def _write_configuration(self, version: int) -> None:
        content = json.dumps(make_configuration(version)).encode()
        self.store.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, content)
