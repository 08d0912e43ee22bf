"""Tests of configurations with concurrent operators and lost answers."""

import random
from pathlib import Path
from typing import Any

import pytest

from cassiadrum.states import (
    CONFIG_TABLE,
    HISTORY_VERSIONS,
    Accepted,
    ConfigurationReader,
    ConfigurationRecord,
    ConfigurationRegistry,
    ConfigurationWriter,
    Conflicted,
    Invalid,
    InvalidRecord,
    NotAccepted,
    Unresolved,
    poll_interval_s,
)
from cassiadrum.tests.stepped_stores import Fault, Stepped, SteppedStore, no_pause

SERVICE = "permit-register"
TEXT = (Path(__file__).parents[2] / "examples" / f"{SERVICE}.toml").read_text()
SERVICES = [SERVICE, "drafting-desk"]
TEXTS = [TEXT, TEXT.replace(SERVICE, "drafting-desk")]


def new_writer(store: SteppedStore) -> ConfigurationWriter:
    return ConfigurationWriter(store, wall_clock=lambda: 1.0, pause=no_pause)


def current(store: SteppedStore, service: str = SERVICE) -> ConfigurationRecord:
    return ConfigurationRecord.from_row(service, store.rows.get(CONFIG_TABLE, service))


def accept(store: SteppedStore, base: int, operation: str, *faults: Fault) -> Any:
    coro = new_writer(store).accept(SERVICE, TEXT, base, operation, "brigade")
    process = Stepped(store, coro)
    for fault in faults:
        process.step(fault)
    return process.finish()


class TestConfigurationWriter:
    """Guards against an accepted version that is lost and a refused one that takes effect.

    Operators write concurrently, the answer to a write may be lost, and a write may arrive after
    its writer has given up.
    """

    def test_invalid_document_is_not_written(self) -> None:
        store = SteppedStore()
        coro = new_writer(store).accept("other-name", TEXT, 0, "o", "brigade")
        result = Stepped(store, coro).finish()
        assert isinstance(result, Invalid) and result.findings[0].path == "service.name"

    def test_conflict_shows_the_difference_to_the_second_operator(self) -> None:
        store = SteppedStore()
        assert isinstance(accept(store, 0, "first"), Accepted)
        changed = TEXT.replace("tier = 0", "tier = 0  # changed", 1)
        coro = new_writer(store).accept(SERVICE, changed, 0, "second", "council")
        result = Stepped(store, coro).finish()
        assert isinstance(result, Conflicted)
        assert "-tier = 0\n+tier = 0  # changed\n" in result.difference
        assert current(store).operation_id == "first"

    def test_repeated_operation_is_accepted_once(self) -> None:
        store = SteppedStore()
        for base, operation in enumerate(["a", "b", "c"]):
            accept(store, base, operation)
        again = accept(store, 0, "a")
        assert isinstance(again, Accepted) and (again.version, again.current.version) == (1, 3)

    def test_lost_answer_is_read_back(self) -> None:
        result = accept(SteppedStore(), 0, "o", Fault.NONE, Fault.ANSWER_LOST)
        assert isinstance(result, Accepted) and result.version == 1

    def test_delayed_write_is_fenced_off(self) -> None:
        store = SteppedStore()
        accept(store, 0, "first")
        result = accept(store, 1, "late", Fault.NONE, Fault.DELAYED)
        assert isinstance(result, NotAccepted)
        store.deliver(0)
        assert current(store).operation_id == "first"

    def test_delayed_first_write_is_fenced_off(self) -> None:
        store = SteppedStore()
        assert isinstance(accept(store, 0, "late", Fault.NONE, Fault.DELAYED), NotAccepted)
        store.deliver(0)
        assert current(store).version == 0
        registry = ConfigurationRegistry()
        assert Stepped(store, ConfigurationReader(store, registry).poll()).finish() == []
        assert isinstance(accept(store, 0, "next"), Accepted)

    def test_outage_leaves_an_operation_unresolved_until_it_is_repeated(self) -> None:
        store = SteppedStore()
        faults = [Fault.NONE, Fault.ANSWER_LOST, *[Fault.DROPPED] * 5]
        assert isinstance(accept(store, 0, "o", *faults), Unresolved)
        assert isinstance(accept(store, 0, "o"), Accepted)
        assert current(store).version == 1

    def test_history_is_bounded_and_shows_differences(self) -> None:
        store = SteppedStore()
        for base in range(HISTORY_VERSIONS + 5):
            assert isinstance(accept(store, base, f"operation-{base}"), Accepted)
        history = new_writer(store).history
        versions = Stepped(store, history.versions(SERVICE)).finish()
        last = HISTORY_VERSIONS + 5
        assert [record.version for record in versions] == list(range(6, last + 1))
        assert Stepped(store, history.diff(SERVICE, 6, last)).finish() == ""
        assert Stepped(store, history.diff(SERVICE, 1, last)).finish() is None
        # The history still has an operation whose id is no longer in the current record.
        old = accept(store, 6, "operation-6")
        assert isinstance(old, Accepted) and old.version == 7
        assert isinstance(accept(store, 6, "other"), Conflicted)
        assert isinstance(accept(store, 0, "operation-0"), Unresolved)


class TestConfigurationRegistry:
    """Guards against a version that goes back and against an invalid document in force.

    Records arrive again and out of order, and a stored record may be invalid.
    """

    def test_apply_is_monotonic(self) -> None:
        registry = ConfigurationRegistry()
        assert registry.apply(ConfigurationRecord(SERVICE, 2, TEXT))
        assert not registry.apply(ConfigurationRecord(SERVICE, 2, TEXT))
        assert registry.apply(ConfigurationRecord(SERVICE, 3, deleted=True))
        assert not registry.apply(ConfigurationRecord(SERVICE, 2, TEXT))
        assert registry.document(SERVICE) is None and registry.versions() == {SERVICE: 3}
        assert registry.outdated_services({SERVICE: 3, "new": 1}) == ["new"]

    def test_invalid_record_leaves_the_document_in_force(self) -> None:
        registry = ConfigurationRegistry()
        registry.apply(ConfigurationRecord(SERVICE, 1, TEXT))
        for text in ("nonsense", TEXTS[1]):
            with pytest.raises(InvalidRecord):
                registry.apply(ConfigurationRecord(SERVICE, 2, text))
        assert registry.version(SERVICE) == 1 and registry.document(SERVICE) is not None

    def test_digest_depends_on_the_vector_only(self) -> None:
        one, two = ConfigurationRegistry(), ConfigurationRegistry()
        records = [
            ConfigurationRecord(name, 1, text) for name, text in zip(SERVICES, TEXTS, strict=True)
        ]
        for record in records:
            one.apply(record)
        for record in reversed(records):
            two.apply(record)
        assert one.digest() == two.digest() != ConfigurationRegistry().digest()


class TestPollInterval:
    """Guards against polls that together exceed the read rate of the store.

    Every process polls, so the interval has to grow with the size of the fleet.
    """

    @pytest.mark.parametrize("processes", [1, 12, 9_600])
    def test_fleet_stays_within_its_read_rate(self, processes: int) -> None:
        intervals = [poll_interval_s(processes, random.Random(seed)) for seed in range(100)]
        assert processes / min(intervals) <= 100
        assert min(intervals) >= 2.0
