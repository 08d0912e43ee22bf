"""Tests of leases and fencing under pauses, slow clocks and lost answers."""

import contextlib
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiadrum.states import (
    LEASE_TABLE,
    FencingGuard,
    FencingRefused,
    LeaseLost,
    LeaseManager,
    LeaseRecord,
    LeaseStateMachine,
)
from cassiadrum.tests.stepped_stores import FAULT_RUNS, Fault, Stepped, SteppedStore

NAME = "orders"
DURATION_S = 9.0
MARGIN_S = 1.0
# The number of sequences is fixed, so a busy machine needs more than the usual time limit.
pytestmark = pytest.mark.timeout(240)


def make_manager(
    store: SteppedStore, holder: str, clock: Callable[[], float], margin_s: float = MARGIN_S
) -> LeaseManager:
    state_machine = LeaseStateMachine(holder, duration_s=DURATION_S, margin_s=margin_s)
    return LeaseManager(store, NAME, state_machine, clock)


def read_record(store: SteppedStore) -> LeaseRecord | None:
    row = store.rows.get(LEASE_TABLE, NAME)
    return LeaseRecord.from_value(row.value) if row else None


class ManagerPair:
    """Two lease managers with one store and one clock."""

    def __init__(self) -> None:
        self.store = SteppedStore()
        self.now = 0.0
        self.first = make_manager(self.store, "one", lambda: self.now)
        self.second = make_manager(self.store, "two", lambda: self.now)

    def step(self, manager: LeaseManager, *faults: Fault) -> None:
        process = Stepped(self.store, manager.step())
        for fault in faults:
            process.step(fault)
        process.finish()


class TestLease:
    """Guards against a holder that acts after its lease may have been taken over.

    It happens when a pause or a lost answer delays the renewal beyond the duration, or when the
    other manager does not wait for the duration and the margin.
    """

    def test_takeover_waits_for_duration_and_margin(self) -> None:
        pair = ManagerPair()
        pair.step(pair.first)
        assert pair.first.check() == 1
        pair.step(pair.second)
        pair.now = DURATION_S + MARGIN_S - 0.1
        pair.step(pair.second)
        with pytest.raises(LeaseLost):
            pair.second.check()
        with pytest.raises(LeaseLost):
            pair.first.check()
        pair.now += 0.1
        pair.step(pair.second)
        assert pair.second.check() == 2

    def test_renewal_keeps_the_lease(self) -> None:
        pair = ManagerPair()
        for _ in range(20):
            pair.step(pair.first)
            pair.step(pair.second)
            assert pair.first.check() == 1
            pair.now += DURATION_S / 3

    def test_duration_counts_from_before_the_renewal(self) -> None:
        pair = ManagerPair()
        process = Stepped(pair.store, pair.first.step())
        process.step()
        pair.now = DURATION_S
        process.finish()
        with pytest.raises(LeaseLost):
            pair.first.check()

    def test_lost_answer_of_a_takeover_is_read_back(self) -> None:
        pair = ManagerPair()
        pair.step(pair.first, Fault.NONE, Fault.ANSWER_LOST)
        with pytest.raises(LeaseLost):
            pair.first.check()
        pair.now = 1.0
        pair.step(pair.first)
        assert pair.first.check() == 1
        pair.now = DURATION_S - 0.1
        assert pair.first.check() == 1

    def test_release_allows_an_immediate_takeover(self) -> None:
        pair = ManagerPair()
        pair.step(pair.first)
        Stepped(pair.store, pair.first.release()).finish()
        with pytest.raises(LeaseLost):
            pair.first.check()
        pair.step(pair.second)
        assert pair.second.check() == 2


class TestFencingGuard:
    """Guards against an order of an old holder that takes effect after a newer one.

    The old holder passed its check, was paused, and sent the order after the takeover.
    """

    @pytest.mark.parametrize("enforces", [True, False])
    def test_old_token_is_refused(self, enforces: bool) -> None:
        pair = ManagerPair()
        pair.step(pair.first)
        guard = FencingGuard(pair.store, endpoint_enforces=enforces)
        Stepped(pair.store, guard.admit(NAME, 1)).finish()
        Stepped(pair.store, pair.first.release()).finish()
        pair.step(pair.second)
        Stepped(pair.store, guard.admit(NAME, 2)).finish()
        with pytest.raises(FencingRefused):
            Stepped(pair.store, guard.admit(NAME, 1)).finish()

    def test_unreadable_row_refuses_where_the_endpoint_ignores_tokens(self) -> None:
        pair = ManagerPair()
        pair.step(pair.first)
        guard = FencingGuard(pair.store, endpoint_enforces=False)
        with pytest.raises(FencingRefused, match="could not be read"):
            Stepped(pair.store, guard.admit(NAME, 1)).step(Fault.DROPPED)
        # A token that never was in the row must not make the guard refuse valid ones.
        with pytest.raises(FencingRefused):
            Stepped(pair.store, guard.admit(NAME, 7)).finish()
        Stepped(pair.store, guard.admit(NAME, 1)).finish()


class LeaseMachine(RuleBasedStateMachine):
    """Guards against two holders that act at the same time.

    It can happen with clocks of different rates, pauses, restarts and store faults. The rates
    differ by up to a tenth, which is less than the ratio of the margin to the duration.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore()
        self.now = 0.0
        self.rates = [0.95, 1.0, 1.05]
        self.start_count = 0
        self.managers = [self.start(index) for index in range(3)]
        self.steps: dict[int, Stepped[None]] = {}
        self.guard = FencingGuard(self.store, endpoint_enforces=False)
        self.enforcing_guard = FencingGuard(self.store, endpoint_enforces=True)
        self.accepted_by_endpoint = 0
        self.highest_fencing = 0
        self.holders: dict[int, str] = {}
        self.checked_tokens: list[int] = []

    def start(self, index: int) -> LeaseManager:
        self.start_count += 1
        rate = self.rates[index]
        return make_manager(self.store, f"{index}-{self.start_count}", lambda: self.now * rate)

    @rule(
        index=st.integers(0, 2),
        seconds=st.sampled_from([0.0, 0.0, 0.0, 3.0, 9.0, 10.6]),
        faults=FAULT_RUNS,
        order=st.sampled_from(["none", "now", "paused", "late"]),
    )
    def step_or_send_order(
        self, index: int, seconds: float, faults: list[Fault], order: str
    ) -> None:
        """Advance the time, begin or continue a step of one manager, and send an order.

        A manager that is not chosen stays paused within its step. A paused order is delivered at
        any later time.
        """
        self.now += seconds
        process = self.steps.pop(index, None) or Stepped(self.store, self.managers[index].step())
        if not process.steps(faults[:2]):
            self.steps[index] = process
        if order == "late" and self.checked_tokens:
            self.deliver_order(self.checked_tokens.pop(0))
        if order not in ("now", "paused"):
            return
        with contextlib.suppress(LeaseLost):
            fencing = self.managers[index].check()
            if order == "now":
                self.deliver_order(fencing)
            else:
                self.checked_tokens.append(fencing)

    @precondition(lambda self: self.store.delayed)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.store.deliver(index)

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        if index in self.steps:
            self.steps.pop(index).close()
        self.managers[index] = self.start(index)

    def deliver_order(self, fencing: int) -> None:
        with contextlib.suppress(FencingRefused):
            Stepped(self.store, self.enforcing_guard.admit(NAME, fencing)).finish()
            assert fencing >= self.accepted_by_endpoint, (
                "an order of an old holder followed a newer one"
            )
            self.accepted_by_endpoint = fencing
        try:
            Stepped(self.store, self.guard.admit(NAME, fencing)).finish()
        except FencingRefused:
            return
        record = read_record(self.store)
        assert record is not None and record.fencing == fencing, "an old order took effect"

    @invariant()
    def at_most_one_holder_passes_the_check(self) -> None:
        passed_tokens = []
        for manager in self.managers:
            try:
                passed_tokens.append(manager.check())
            except LeaseLost:
                continue
        assert len(passed_tokens) <= 1, f"holders with tokens {passed_tokens}"

    @invariant()
    def fencing_token_never_falls_and_has_one_holder(self) -> None:
        record = read_record(self.store)
        fencing = record.fencing if record else 0
        assert fencing >= self.highest_fencing
        self.highest_fencing = fencing
        if record is not None:
            assert self.holders.setdefault(fencing, record.holder) == record.holder

    def teardown(self) -> None:
        for process in self.steps.values():
            process.close()


TestLeaseSequences = LeaseMachine.TestCase
TestLeaseSequences.settings = settings(
    max_examples=500, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
