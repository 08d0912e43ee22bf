"""Sequences of configuration changes with races, lost answers, restarts and reordering."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiadrum.states import (
    Accepted,
    ConfigurationReader,
    ConfigurationRecord,
    ConfigurationRegistry,
    Conflicted,
    NotAccepted,
)
from cassiadrum.tests.stepped_stores import FAULT_RUNS, Fault, Stepped, SteppedStore
from cassiadrum.tests.test_configurations import SERVICES, TEXTS, current, new_writer

# The number of sequences is fixed, so a busy machine needs longer than the default time limit.
pytestmark = pytest.mark.timeout(240)


class ConfigurationMachine(RuleBasedStateMachine):
    """Guards against a version that reverts while operators race and processes learn late."""

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore()
        self.operations: dict[str, Stepped[Any]] = {}
        self.polls: list[tuple[int, Stepped[Any]]] = []
        self.count = 0
        self.seen: dict[tuple[str, int], ConfigurationRecord] = {}
        self.applied: dict[str, str] = {}
        self.refused: set[str] = set()
        self.accepted: dict[str, tuple[str, int]] = {}
        self.registries = [ConfigurationRegistry() for _ in range(3)]
        self.floors: list[dict[str, int]] = [{} for _ in range(3)]

    @rule(
        index=st.integers(0, 1),
        back=st.sampled_from([0, 0, 0, 1, 2]),
        delete=st.booleans(),
        faults=FAULT_RUNS,
    )
    def submit(self, index: int, back: int, delete: bool, faults: list[Fault]) -> None:
        service = SERVICES[index]
        base = max(0, current(self.store, service).version - back)
        self.count += 1
        operation = f"operation-{self.count}"
        writer = new_writer(self.store)
        if delete:
            coro = writer.delete(service, base, operation, "council")
        else:
            coro = writer.accept(service, TEXTS[index], base, operation, "council")
        self.operations[operation] = Stepped(self.store, coro)
        self.applied[operation] = service
        self.go_on(operation, faults)

    def go_on(self, operation: str, faults: list[Fault]) -> None:
        for fault in faults:
            # Each version is recorded even if the next operation supersedes it.
            if operation in self.operations and self.operations[operation].step(fault):
                self.note(operation, self.operations.pop(operation).result)
            self.record_current_versions()

    @precondition(lambda self: self.operations)
    @rule(index=st.integers(0, 9), faults=FAULT_RUNS)
    def step_operation(self, index: int, faults: list[Fault]) -> None:
        self.go_on(list(self.operations)[index % len(self.operations)], faults)

    def note(self, operation: str, result: Any) -> None:
        if isinstance(result, Accepted):
            self.accepted[operation] = (self.applied[operation], result.version)
        elif isinstance(result, Conflicted | NotAccepted):
            self.refused.add(operation)

    @precondition(lambda self: self.store.delayed)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.store.deliver(index)

    @precondition(lambda self: self.seen)
    @rule(process=st.integers(0, 2), index=st.integers(0, 30))
    def gossip(self, process: int, index: int) -> None:
        """Bring a process any version that was ever current, again and out of order."""
        records = list(self.seen.values())
        self.registries[process].apply(records[index % len(records)])

    @rule(process=st.integers(0, 2), operations=st.integers(0, 4))
    def poll(self, process: int, operations: int) -> None:
        reader = ConfigurationReader(self.store, self.registries[process])
        stepped = Stepped(self.store, reader.poll())
        if not stepped.steps([Fault.NONE] * operations):
            self.polls.append((process, stepped))

    @precondition(lambda self: self.polls)
    @rule(index=st.integers(0, 9), operations=st.integers(1, 4))
    def step_poll(self, index: int, operations: int) -> None:
        item = self.polls[index % len(self.polls)]
        if item[1].steps([Fault.NONE] * operations):
            self.polls.remove(item)

    @rule(process=st.integers(0, 2))
    def restart(self, process: int) -> None:
        for item in [item for item in self.polls if item[0] == process]:
            item[1].close()
            self.polls.remove(item)
        self.registries[process] = ConfigurationRegistry()
        self.floors[process] = {}

    @invariant()
    def record_current_versions(self) -> None:
        for service in SERVICES:
            record = current(self.store, service)
            if record.version:
                before = self.seen.setdefault((service, record.version), record)
                assert before == record, "a version changed its content"
            last = max((version for name, version in self.seen if name == service), default=0)
            assert record.version == last, "the store went back"

    @invariant()
    def versions_in_force_never_go_back(self) -> None:
        for registry, floor in zip(self.registries, self.floors, strict=True):
            for service, version in registry.versions().items():
                assert version >= floor.get(service, 0)
                floor[service] = version
                deleted = self.seen[service, version].deleted
                assert (registry.document(service) is None) == deleted

    @invariant()
    def results_are_true(self) -> None:
        written = {record.operation_id for record in self.seen.values()}
        assert not written & self.refused, "a refused operation took effect"
        for operation, key in self.accepted.items():
            assert self.seen[key].operation_id == operation

    def teardown(self) -> None:
        while self.store.delayed:
            self.store.deliver(0)
        for operation, process in self.operations.items():
            self.note(operation, process.finish())
        for _, process in self.polls:
            process.close()
        history = new_writer(self.store).history
        for service in SERVICES:
            for record in Stepped(self.store, history.versions(service)).finish():
                self.seen.setdefault((service, record.version), record)
        self.results_are_true()
        for registry in self.registries:
            Stepped(self.store, ConfigurationReader(self.store, registry).poll()).finish()
            for service in SERVICES:
                assert registry.version(service) == current(self.store, service).version


TestConfigurationSequences = ConfigurationMachine.TestCase
TestConfigurationSequences.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
