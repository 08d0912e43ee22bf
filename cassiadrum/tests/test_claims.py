"""Tests of once-only claims with lost answers, delayed writes, outages and crashes."""

from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cassiadrum.defaults import LIMITS
from cassiadrum.states import (
    CLAIM_TABLE,
    AlreadyCompleted,
    ClaimCleaner,
    Claimed,
    ClaimKey,
    ClaimRecord,
    ClaimService,
    ClaimState,
    InProgress,
    KeptAnswer,
    KeyReused,
    OutcomeUnknown,
    StoreUnavailable,
)
from cassiadrum.stores import Refused, Unknown
from cassiadrum.tests.stepped_stores import (
    FAULT_RUNS,
    Fault,
    MemoryObjects,
    Operation,
    Stepped,
    SteppedStore,
)

T = TypeVar("T")
KEY = ClaimKey("auftragsdienst", "parish", "order-1")
ANSWER = KeptAnswer(201, (("content-type", "text/plain"),), b"cast")
DEADLINE_S = 10.0
# The number of sequences is fixed, so a busy machine needs longer than the default time limit.
pytestmark = pytest.mark.timeout(240)


class Bench:
    """A store, a wall clock and claim services whose operation ids are numbered."""

    def __init__(self) -> None:
        self.store = SteppedStore()
        self.objects = MemoryObjects()
        self.now = 1000.0
        self.ids = 0

    def service(self, name: str) -> ClaimService:
        return ClaimService(
            self.store, self.objects, name, wall_clock=lambda: self.now, new_id=self.new_id
        )

    def new_id(self) -> str:
        self.ids += 1
        return f"operation-{self.ids}"

    def run(self, coro: Coroutine[Any, Any, T], *faults: Fault) -> T:
        process = Stepped(self.store, coro)
        for fault in faults:
            process.step(fault)
        return process.finish()

    def record(self, key: ClaimKey = KEY) -> ClaimRecord | None:
        row = self.store.rows.get(CLAIM_TABLE, key.row_key())
        return ClaimRecord.from_value(row.value) if row else None


class TestClaimService:
    """Guards against a second run of a key and against a false "not run".

    Both may result from a lost answer of the store or the endpoint, a delayed write, or a sidecar
    that is lost or paused between its claim and the outcome.
    """

    def test_answer_is_kept_for_the_same_body_only(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        other = bench.service("b")
        assert isinstance(bench.run(other.claim(KEY, "h", DEADLINE_S)), InProgress)
        assert bench.run(service.record_answer(claim, ANSWER))
        assert bench.run(other.claim(KEY, "h", DEADLINE_S)) == AlreadyCompleted(ANSWER)
        assert bench.run(other.claim(KEY, "other", DEADLINE_S)) == KeyReused()

    def test_lost_answer_to_the_claim_is_read_back(self) -> None:
        bench = Bench()
        result = bench.run(bench.service("a").claim(KEY, "h", DEADLINE_S), Fault.ANSWER_LOST)
        assert isinstance(result, Claimed)

    def test_refused_call_is_marked_not_run_and_can_be_claimed_again(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = service.claim(KEY, "h", DEADLINE_S)
        refused = bench.run(claim, Fault.ANSWER_LOST, Fault.REFUSED)
        assert isinstance(refused, StoreUnavailable)
        assert isinstance(bench.run(service.claim(KEY, "h", DEADLINE_S)), InProgress)
        assert bench.run(service.write_pending()) == 0
        record = bench.record()
        assert record is not None and record.state is ClaimState.NOT_RUN
        assert isinstance(bench.run(bench.service("b").claim(KEY, "h", DEADLINE_S)), Claimed)

    def test_delayed_claim_does_not_replace_the_not_run_record(self) -> None:
        bench = Bench()
        service = bench.service("a")
        bench.run(service.claim(KEY, "h", DEADLINE_S), Fault.DELAYED, Fault.REFUSED)
        assert bench.run(service.write_pending()) == 0
        bench.store.deliver(0)
        record = bench.record()
        assert record is not None and record.state is ClaimState.NOT_RUN

    def test_lost_endpoint_answer_stays_unknown_until_resolved(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        assert bench.run(service.record_lost_answer(claim))
        assert isinstance(bench.run(service.claim(KEY, "h", DEADLINE_S)), OutcomeUnknown)
        assert bench.run(service.resolve_unknown(KEY, ran=True))
        kept = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(kept, AlreadyCompleted) and not kept.answer.body_kept

    def test_running_claim_of_a_lost_sidecar_becomes_unknown(self) -> None:
        bench = Bench()
        claim = bench.run(bench.service("a").claim(KEY, "h", DEADLINE_S))
        other = bench.service("b")
        bench.now += DEADLINE_S + 60.0
        assert isinstance(bench.run(other.claim(KEY, "h", DEADLINE_S)), InProgress)
        bench.now += 0.1
        assert isinstance(bench.run(other.claim(KEY, "h", DEADLINE_S)), OutcomeUnknown)
        record = bench.record()
        assert record is not None and record.state is ClaimState.UNKNOWN
        # The first sidecar was only paused; the outcome that it records replaces `unknown`.
        assert isinstance(claim, Claimed)
        assert bench.run(bench.service("a").record_answer(claim, ANSWER))
        assert bench.run(other.claim(KEY, "h", DEADLINE_S)) == AlreadyCompleted(ANSWER)

    def test_outcome_is_written_when_the_store_has_recovered(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        assert not bench.run(service.record_answer(claim, ANSWER), Fault.REFUSED)
        assert bench.run(service.write_pending(), Fault.REFUSED) == 1
        assert bench.run(service.write_pending()) == 0
        assert bench.run(service.claim(KEY, "h", DEADLINE_S)) == AlreadyCompleted(ANSWER)

    def test_large_answer_is_stored_as_an_object_or_marked_as_not_kept(self) -> None:
        bench = Bench()
        service = bench.service("a")
        large = ANSWER._replace(body=b"x" * (LIMITS.KEPT_ANSWER_BYTES + 1))
        for key, down in ((KEY, False), (KEY._replace(key="order-2"), True)):
            bench.objects.down = down
            claim = bench.run(service.claim(key, "h", DEADLINE_S))
            assert isinstance(claim, Claimed)
            assert bench.run(service.record_answer(claim, large))
            expected = large._replace(body=b"", body_kept=False) if down else large
            assert bench.run(service.claim(key, "h", DEADLINE_S)) == AlreadyCompleted(expected)
        assert len(bench.objects.objects) == 1

    def test_clean_up_removes_only_expired_rows(self) -> None:
        bench = Bench()
        service = bench.service("a")
        large = ANSWER._replace(body=b"x" * (LIMITS.KEPT_ANSWER_BYTES + 1))
        for index in range(60):
            claim = bench.run(service.claim(KEY._replace(key=str(index)), "h", DEADLINE_S))
            assert isinstance(claim, Claimed)
            if index == 0:
                bench.run(service.record_answer(claim, large))
        bench.now += LIMITS.CLAIM_RETENTION_S
        assert isinstance(bench.run(service.claim(KEY, "h", DEADLINE_S)), Claimed)
        cleaner = ClaimCleaner(
            bench.store, bench.objects, wall_clock=lambda: bench.now, page_rows=40
        )
        assert [bench.run(cleaner.clean_page()) for _ in range(3)] == [40, 20, 0]
        assert bench.record() is not None and not bench.objects.objects


class ClaimMachine(RuleBasedStateMachine):
    """Guards against a key that runs twice when sidecars race, crash and lose answers.

    Each call is one coroutine that pauses before every operation and before its effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.keys = [KEY, KEY._replace(key="order-2")]
        self.runs: dict[ClaimKey, list[str]] = {key: [] for key in self.keys}
        self.work: list[tuple[int, Stepped[Any]]] = []
        self.sidecars = [self.bench.service(f"sidecar-{index}") for index in range(3)]

    async def serve(self, service: ClaimService, key: ClaimKey) -> None:
        claim = await service.claim(key, "h", DEADLINE_S)
        if isinstance(claim, AlreadyCompleted):
            assert claim.answer == ANSWER and len(self.runs[key]) == 1
        if not isinstance(claim, Claimed):
            return
        operation_id = claim.record.operation_id
        outcome = await Operation(lambda: self.runs[key].append(operation_id), True)
        if isinstance(outcome, Refused):
            await service.record_not_run(claim)
        elif isinstance(outcome, Unknown):
            await service.record_lost_answer(claim)
        else:
            await service.record_answer(claim, ANSWER)

    def track(self, sidecar: int, coro: Coroutine[Any, Any, Any], faults: list[Fault]) -> None:
        process = Stepped(self.bench.store, coro)
        if not process.steps(faults):
            self.work.append((sidecar, process))

    @rule(sidecar=st.integers(0, 2), key=st.sampled_from([0, 0, 0, 1]), faults=FAULT_RUNS)
    def arrive(self, sidecar: int, key: int, faults: list[Fault]) -> None:
        self.track(sidecar, self.serve(self.sidecars[sidecar], self.keys[key]), faults)

    @precondition(lambda self: self.work)
    @rule(index=st.integers(0, 9), faults=FAULT_RUNS)
    def go_on(self, index: int, faults: list[Fault]) -> None:
        item = self.work[index % len(self.work)]
        if item[1].steps(faults):
            self.work.remove(item)

    @rule(sidecar=st.integers(0, 2), faults=FAULT_RUNS)
    def settle(self, sidecar: int, faults: list[Fault]) -> None:
        self.track(sidecar, self.sidecars[sidecar].write_pending(), faults)

    @precondition(lambda self: self.bench.store.delayed)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.bench.store.deliver(index)

    @rule(sidecar=st.integers(0, 2))
    def crash(self, sidecar: int) -> None:
        for item in [item for item in self.work if item[0] == sidecar]:
            item[1].close()
            self.work.remove(item)
        self.sidecars[sidecar] = self.bench.service(f"sidecar-{sidecar}-again")

    @rule(seconds=st.sampled_from([1.0, 30.0, 71.0]))
    def wait(self, seconds: float) -> None:
        self.bench.now += seconds

    @invariant()
    def runs_at_most_once_and_not_run_is_true(self) -> None:
        for key, runs in self.runs.items():
            assert len(runs) <= 1, f"{key} ran as {runs}"
            record = self.bench.record(key)
            if record is not None and record.state is ClaimState.NOT_RUN:
                assert record.operation_id not in runs
            if record is not None and record.state is ClaimState.DONE:
                assert runs == [record.operation_id]

    def teardown(self) -> None:
        for _, process in self.work:
            process.close()


TestClaimSequences = ClaimMachine.TestCase
TestClaimSequences.settings = settings(
    max_examples=1000, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
