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
# The number of sequences is fixed, so a busy machine must not turn them into a failure.
pytestmark = pytest.mark.timeout(240)


def new_keeper(
    store: SteppedStore, holder: str, clock: Callable[[], float], margin_s: float = MARGIN_S
) -> LeaseManager:
    core = LeaseStateMachine(holder, duration_s=DURATION_S, margin_s=margin_s)
    return LeaseManager(store, NAME, core, clock)


def stored(store: SteppedStore) -> LeaseRecord | None:
    row = store.rows.get(LEASE_TABLE, NAME)
    return LeaseRecord.from_value(row.value) if row else None


class Pair:
    """Two keepers on one clock."""

    def __init__(self) -> None:
        self.store = SteppedStore()
        self.now = 0.0
        self.one = new_keeper(self.store, "one", lambda: self.now)
        self.two = new_keeper(self.store, "two", lambda: self.now)

    def step(self, keeper: LeaseManager, *faults: Fault) -> None:
        process = Stepped(self.store, keeper.step())
        for fault in faults:
            process.step(fault)
        process.finish()


class TestLease:
    """Guards against a holder that acts after its lease may have been taken over."""

    def test_takeover_waits_for_duration_and_margin(self) -> None:
        pair = Pair()
        pair.step(pair.one)
        assert pair.one.check() == 1
        pair.step(pair.two)
        pair.now = DURATION_S + MARGIN_S - 0.1
        pair.step(pair.two)
        with pytest.raises(LeaseLost):
            pair.two.check()
        with pytest.raises(LeaseLost):
            pair.one.check()
        pair.now += 0.1
        pair.step(pair.two)
        assert pair.two.check() == 2

    def test_renewal_keeps_the_lease(self) -> None:
        pair = Pair()
        for _ in range(20):
            pair.step(pair.one)
            pair.step(pair.two)
            assert pair.one.check() == 1
            pair.now += DURATION_S / 3

    def test_duration_counts_from_before_the_renewal(self) -> None:
        pair = Pair()
        process = Stepped(pair.store, pair.one.step())
        process.step()
        pair.now = DURATION_S
        process.finish()
        with pytest.raises(LeaseLost):
            pair.one.check()

    def test_lost_answer_of_a_takeover_is_read_back(self) -> None:
        pair = Pair()
        pair.step(pair.one, Fault.NONE, Fault.ANSWER_LOST)
        with pytest.raises(LeaseLost):
            pair.one.check()
        pair.now = 1.0
        pair.step(pair.one)
        assert pair.one.check() == 1
        pair.now = DURATION_S - 0.1
        assert pair.one.check() == 1

    def test_release_lets_the_next_take_over_at_once(self) -> None:
        pair = Pair()
        pair.step(pair.one)
        Stepped(pair.store, pair.one.release()).finish()
        with pytest.raises(LeaseLost):
            pair.one.check()
        pair.step(pair.two)
        assert pair.two.check() == 2


class TestFencingGuard:
    """Guards against an order of an old holder that takes effect after a newer one."""

    @pytest.mark.parametrize("enforces", [True, False])
    def test_old_token_is_refused(self, enforces: bool) -> None:
        pair = Pair()
        pair.step(pair.one)
        guard = FencingGuard(pair.store, endpoint_enforces=enforces)
        Stepped(pair.store, guard.admit(NAME, 1)).finish()
        Stepped(pair.store, pair.one.release()).finish()
        pair.step(pair.two)
        Stepped(pair.store, guard.admit(NAME, 2)).finish()
        with pytest.raises(FencingRefused):
            Stepped(pair.store, guard.admit(NAME, 1)).finish()

    def test_unread_row_refuses_where_the_endpoint_ignores_tokens(self) -> None:
        pair = Pair()
        pair.step(pair.one)
        guard = FencingGuard(pair.store, endpoint_enforces=False)
        with pytest.raises(FencingRefused, match="could not be read"):
            Stepped(pair.store, guard.admit(NAME, 1)).step(Fault.DROPPED)
        # A token that was never in the row must not block the true ones.
        with pytest.raises(FencingRefused):
            Stepped(pair.store, guard.admit(NAME, 7)).finish()
        Stepped(pair.store, guard.admit(NAME, 1)).finish()


class LeaseMachine(RuleBasedStateMachine):
    """Guards against two holders that act, with clocks of different rates, pauses and faults.

    Rates differ by up to a tenth, which is below margin over duration.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = SteppedStore()
        self.now = 0.0
        self.rates = [0.95, 1.0, 1.05]
        self.starts = 0
        self.keepers = [self.start(index) for index in range(3)]
        self.steps: dict[int, Stepped[None]] = {}
        self.guard = FencingGuard(self.store, endpoint_enforces=False)
        self.enforcing = FencingGuard(self.store, endpoint_enforces=True)
        self.accepted = 0
        self.highest = 0
        self.holders: dict[int, str] = {}
        self.checked: list[int] = []

    def start(self, index: int) -> LeaseManager:
        self.starts += 1
        rate = self.rates[index]
        return new_keeper(self.store, f"{index}-{self.starts}", lambda: self.now * rate)

    @rule(
        index=st.integers(0, 2),
        seconds=st.sampled_from([0.0, 0.0, 0.0, 3.0, 9.0, 10.6]),
        faults=FAULT_RUNS,
        order=st.sampled_from(["none", "now", "paused", "late"]),
    )
    def act(self, index: int, seconds: float, faults: list[Fault], order: str) -> None:
        """Let time pass, then begin a step of a contender or go on with it, and send an order.

        A contender left out is paused where it stands; a paused order arrives at any later time.
        """
        self.now += seconds
        process = self.steps.pop(index, None) or Stepped(self.store, self.keepers[index].step())
        if not process.steps(faults[:2]):
            self.steps[index] = process
        if order == "late" and self.checked:
            self.arrive(self.checked.pop(0))
        if order not in ("now", "paused"):
            return
        with contextlib.suppress(LeaseLost):
            fencing = self.keepers[index].check()
            if order == "now":
                self.arrive(fencing)
            else:
                self.checked.append(fencing)

    @precondition(lambda self: self.store.delayed)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.store.deliver(index)

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        if index in self.steps:
            self.steps.pop(index).close()
        self.keepers[index] = self.start(index)

    def arrive(self, fencing: int) -> None:
        with contextlib.suppress(FencingRefused):
            Stepped(self.store, self.enforcing.admit(NAME, fencing)).finish()
            assert fencing >= self.accepted, "an order of an old holder followed a newer one"
            self.accepted = fencing
        try:
            Stepped(self.store, self.guard.admit(NAME, fencing)).finish()
        except FencingRefused:
            return
        record = stored(self.store)
        assert record is not None and record.fencing == fencing, "an old order took effect"

    @invariant()
    def at_most_one_holder_passes_the_check(self) -> None:
        passed = []
        for keeper in self.keepers:
            try:
                passed.append(keeper.check())
            except LeaseLost:
                continue
        assert len(passed) <= 1, f"holders with tokens {passed}"

    @invariant()
    def fencing_only_rises_and_names_one_holder(self) -> None:
        record = stored(self.store)
        fencing = record.fencing if record else 0
        assert fencing >= self.highest
        self.highest = fencing
        if record is not None:
            assert self.holders.setdefault(fencing, record.holder) == record.holder

    def teardown(self) -> None:
        for process in self.steps.values():
            process.close()


TestLeaseSequences = LeaseMachine.TestCase
TestLeaseSequences.settings = settings(
    max_examples=500, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
