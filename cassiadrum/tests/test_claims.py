"""Tests of the once-only claims under lost answers, delays, outages and crashes."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from cassiadrum.defaults import LIMITS
from cassiadrum.states import (
    CLAIM_TABLE,
    ClaimCleaner,
    Claimed,
    ClaimKey,
    ClaimRecord,
    ClaimService,
    ClaimState,
    InProgress,
    Kept,
    KeptAnswer,
    KeyReused,
    OutcomeUnknown,
    StoreUnavailable,
)
from cassiadrum.tests.stepped_stores import Fault, MemoryObjects, Stepped, SteppedStore

T = TypeVar("T")
KEY = ClaimKey("auftragsdienst", "parish", "order-1")
ANSWER = KeptAnswer(201, (("content-type", "text/plain"),), b"cast")
DEADLINE_S = 10.0


class Bench:
    """One store, a wall clock and services with operation ids that count up."""

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
    """Guards against a second run of a key and against a false "not run"."""

    def test_answer_is_kept_for_the_same_body_only(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        other = bench.service("b")
        assert isinstance(bench.run(other.claim(KEY, "h", DEADLINE_S)), InProgress)
        assert bench.run(service.finish(claim, ANSWER))
        assert bench.run(other.claim(KEY, "h", DEADLINE_S)) == Kept(ANSWER)
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
        assert bench.run(service.settle_pending()) == 0
        record = bench.record()
        assert record is not None and record.state is ClaimState.NOT_RUN
        assert isinstance(bench.run(bench.service("b").claim(KEY, "h", DEADLINE_S)), Claimed)

    def test_claim_that_arrives_after_its_refusal_meets_the_mark(self) -> None:
        bench = Bench()
        service = bench.service("a")
        bench.run(service.claim(KEY, "h", DEADLINE_S), Fault.DELAYED, Fault.REFUSED)
        assert bench.run(service.settle_pending()) == 0
        bench.store.deliver(0)
        record = bench.record()
        assert record is not None and record.state is ClaimState.NOT_RUN

    def test_lost_endpoint_answer_stays_unknown_until_settled(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        assert bench.run(service.lost_answer(claim))
        assert isinstance(bench.run(service.claim(KEY, "h", DEADLINE_S)), OutcomeUnknown)
        assert bench.run(service.settle_unknown(KEY, ran=True))
        kept = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(kept, Kept) and not kept.answer.body_kept

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
        # The sidecar was only paused: its outcome replaces `unknown`.
        assert isinstance(claim, Claimed)
        assert bench.run(bench.service("a").finish(claim, ANSWER))
        assert bench.run(other.claim(KEY, "h", DEADLINE_S)) == Kept(ANSWER)

    def test_outcome_is_written_when_the_store_is_back(self) -> None:
        bench = Bench()
        service = bench.service("a")
        claim = bench.run(service.claim(KEY, "h", DEADLINE_S))
        assert isinstance(claim, Claimed)
        assert not bench.run(service.finish(claim, ANSWER), Fault.REFUSED)
        assert bench.run(service.settle_pending(), Fault.REFUSED) == 1
        assert bench.run(service.settle_pending()) == 0
        assert bench.run(service.claim(KEY, "h", DEADLINE_S)) == Kept(ANSWER)

    def test_large_answer_goes_to_the_object_store_or_is_told_gone(self) -> None:
        bench = Bench()
        service = bench.service("a")
        large = ANSWER._replace(body=b"x" * (LIMITS.KEPT_ANSWER_BYTES + 1))
        for key, down in ((KEY, False), (KEY._replace(key="order-2"), True)):
            bench.objects.down = down
            claim = bench.run(service.claim(key, "h", DEADLINE_S))
            assert isinstance(claim, Claimed)
            assert bench.run(service.finish(claim, large))
            expected = large._replace(body=b"", body_kept=False) if down else large
            assert bench.run(service.claim(key, "h", DEADLINE_S)) == Kept(expected)
        assert len(bench.objects.objects) == 1

    def test_clean_up_removes_old_rows_only(self) -> None:
        bench = Bench()
        service = bench.service("a")
        large = ANSWER._replace(body=b"x" * (LIMITS.KEPT_ANSWER_BYTES + 1))
        for index in range(60):
            claim = bench.run(service.claim(KEY._replace(key=str(index)), "h", DEADLINE_S))
            assert isinstance(claim, Claimed)
            if index == 0:
                bench.run(service.finish(claim, large))
        bench.now += LIMITS.CLAIM_RETENTION_S
        assert isinstance(bench.run(service.claim(KEY, "h", DEADLINE_S)), Claimed)
        cleaner = ClaimCleaner(
            bench.store, bench.objects, wall_clock=lambda: bench.now, page_rows=40
        )
        assert [bench.run(cleaner.step()) for _ in range(3)] == [40, 20, 0]
        assert bench.record() is not None and not bench.objects.objects


FAULTS = st.sampled_from(Fault)


class ClaimMachine(RuleBasedStateMachine):
    """Race sidecars over two keys, with faults at every store operation."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.keys = [KEY, KEY._replace(key="order-2")]
        self.runs: dict[ClaimKey, list[str]] = {key: [] for key in self.keys}
        self.claims: list[tuple[int, Stepped[Any]]] = []
        self.others: list[tuple[int, Stepped[Any]]] = []
        self.tickets: list[tuple[int, Claimed]] = []

    @initialize()
    def start(self) -> None:
        self.sidecars = [self.bench.service(f"sidecar-{index}") for index in range(3)]

    @rule(sidecar=st.integers(0, 2), key=st.integers(0, 1))
    def arrive(self, sidecar: int, key: int) -> None:
        coro = self.sidecars[sidecar].claim(self.keys[key], "h", DEADLINE_S)
        self.claims.append((sidecar, Stepped(self.bench.store, coro)))

    @precondition(lambda self: self.claims)
    @rule(index=st.integers(0, 9), fault=FAULTS)
    def step_claim(self, index: int, fault: Fault) -> None:
        sidecar, process = self.claims[index % len(self.claims)]
        if not process.step(fault):
            return
        self.claims.remove((sidecar, process))
        if isinstance(process.result, Claimed):
            self.tickets.append((sidecar, process.result))
        if isinstance(process.result, Kept):
            assert process.result.answer == ANSWER

    @precondition(lambda self: self.tickets)
    @rule(index=st.integers(0, 9), outcome=st.sampled_from(["done", "lost", "not_run", "crash"]))
    def run_effect(self, index: int, outcome: str) -> None:
        sidecar, ticket = self.tickets.pop(index % len(self.tickets))
        service = self.sidecars[sidecar]
        if outcome == "not_run":
            coro = service.not_run(ticket)
        else:
            self.runs[ticket.key].append(ticket.record.operation_id)
            coro = service.lost_answer(ticket)
            if outcome == "done":
                coro.close()
                coro = service.finish(ticket, ANSWER)
        if outcome == "crash":
            coro.close()
        else:
            self.others.append((sidecar, Stepped(self.bench.store, coro)))

    @precondition(lambda self: self.others)
    @rule(index=st.integers(0, 9), fault=FAULTS)
    def step_other(self, index: int, fault: Fault) -> None:
        item = self.others[index % len(self.others)]
        if item[1].done or item[1].step(fault):
            self.others.remove(item)

    @rule(sidecar=st.integers(0, 2))
    def settle(self, sidecar: int) -> None:
        process = Stepped(self.bench.store, self.sidecars[sidecar].settle_pending())
        self.others.append((sidecar, process))

    @precondition(lambda self: self.bench.store.delayed)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.bench.store.deliver(index)

    @rule(sidecar=st.integers(0, 2))
    def crash(self, sidecar: int) -> None:
        for processes in (self.claims, self.others):
            for item in [item for item in processes if item[0] == sidecar]:
                item[1].close()
                processes.remove(item)
        self.tickets = [item for item in self.tickets if item[0] != sidecar]
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
        for _, process in [*self.claims, *self.others]:
            process.close()


TestClaimSequences = ClaimMachine.TestCase
TestClaimSequences.settings = settings(
    max_examples=1000, stateful_step_count=30, derandomize=True, deadline=None, database=None
)
