"""Tests of the rules about requests, on records with and without violations."""

from collections.abc import Sequence
from typing import Any

import pytest

from cassiadrum.invariants import (
    EventualServiceRule,
    FleetRecord,
    OnceOnlyRule,
    Rule,
    TierSafetyRule,
    TruthfulNotRunRule,
    WholeAnswerRule,
)
from cassiadrum.tests.records import Step, make_caller, make_record, make_run, step

TOP, LOW, ONCE = "top:status-check", "low:register-export", "once:permit-issue"


def details(rule: Rule, record: FleetRecord) -> list[str]:
    return [violation.detail for violation in rule.check(record)]


def queued_steps(*requests: str, instance: str = "entry-1") -> list[Step]:
    return [step(0, instance, "queued", request) for request in requests]


class TestTierSafety:
    """Guards against a rule that misses protected work displaced by lower tiers.

    It may be evicted, refused, rejected, paused or cancelled while a lower tier is kept or served.
    """

    @pytest.mark.parametrize(
        "steps",
        [
            [*queued_steps(TOP, LOW), step(1, "entry-1", "evicted", TOP)],
            [*queued_steps(LOW), step(1, "entry-1", "refused", TOP, reason="overloaded")],
            [
                *queued_steps(TOP, LOW, instance="sidecar-1"),
                step(1, "sidecar-1", "rejected", TOP, reason="overloaded"),
            ],
            [
                step(0, "sidecar-1", "started", LOW),
                step(0, "sidecar-1", "started", TOP),
                step(1, "sidecar-1", "paused", TOP),
            ],
            [
                step(0, "sidecar-1", "started", TOP),
                step(1, "sidecar-1", "paused", TOP),
                step(1, "sidecar-1", "started", LOW),
            ],
            [
                step(0, "sidecar-1", "started", TOP),
                step(0, "sidecar-1", "started", LOW),
                step(1, "sidecar-1", "cancelled", TOP, reason="preempted"),
            ],
            [
                *queued_steps(TOP, LOW),
                step(1, "entry-1", "dispatched", LOW),
                step(11, "entry-1", "refused", TOP, reason="deadline"),
            ],
        ],
        ids=["evicted", "refused", "rejected", "paused", "lower started", "cancelled", "deadline"],
    )
    def test_rejects(self, steps: Sequence[Step]) -> None:
        (violation,) = TierSafetyRule().check(make_record(*steps))
        assert violation.request_id == "top"

    @pytest.mark.parametrize(
        "steps",
        [
            [*queued_steps(TOP, LOW), step(1, "entry-1", "evicted", LOW)],
            [*queued_steps(TOP), step(1, "entry-1", "refused", TOP, reason="overloaded")],
            [
                *queued_steps(LOW),
                step(1, "entry-1", "dispatched", LOW),
                step(1, "entry-1", "refused", TOP, reason="overloaded"),
            ],
            [
                step(0, "sidecar-1", "started", LOW),
                step(1, "sidecar-1", "paused", LOW),
                step(1, "sidecar-1", "started", TOP),
            ],
            [
                step(0, "entry-1", "queued", LOW, model="m1"),
                step(0, "entry-1", "queued", TOP, model="m2"),
                step(1, "entry-1", "evicted", TOP),
            ],
            [
                *queued_steps(TOP, LOW),
                step(1, "entry-1", "dispatched", TOP),
                step(2, "entry-1", "queued", TOP),
                step(3, "entry-1", "dispatched", LOW),
                step(11, "entry-1", "refused", TOP, reason="deadline"),
            ],
        ],
        ids=["lower shed", "nothing lower", "lower left", "lower paused", "models", "retry"],
    )
    def test_accepts(self, steps: Sequence[Step]) -> None:
        assert TierSafetyRule().check(make_record(*steps)) == []


class TestEventualService:
    """Guards against a rule that misses lost requests and starved classes.

    A request may have no end at all, or its class may wait although it is overdue for its share.
    """

    RECEIVED = step(0, "entry-1", "received", TOP)

    def test_rejects_a_request_without_an_end(self) -> None:
        lost_hedge = step(1, "entry-1", "cancelled", TOP, reason="hedge_lost")
        for steps in ([self.RECEIVED], [self.RECEIVED, lost_hedge]):
            assert details(EventualServiceRule(), make_record(*steps)) == [
                "received and never ended"
            ]

    def test_accepts_an_end_and_a_killed_instance(self) -> None:
        ended = make_record(self.RECEIVED, step(1, "entry-1", "refused", TOP))
        killed = make_record(self.RECEIVED, alive=False, killed=frozenset({"entry-1"}))
        assert EventualServiceRule().check(ended) == EventualServiceRule().check(killed) == []

    @staticmethod
    def make_dispatches(served_turn: int) -> FleetRecord:
        # The class has max_wait_s 120 and min_share 0.05, so 2 * 20 dispatches may pass it over.
        steps = queued_steps(LOW, "low2:register-export")
        for turn in range(50):
            steps.append(step(121 + turn, "entry-1", "queued", f"r{turn}:permit-issue"))
            steps.append(step(121 + turn, "entry-1", "dispatched", f"r{turn}:permit-issue"))
            if turn == served_turn:
                steps.append(step(121 + turn, "entry-1", "dispatched", LOW))
        return make_record(*steps)

    def test_rejects_an_overdue_class_without_dispatches(self) -> None:
        (detail,) = details(EventualServiceRule(), self.make_dispatches(served_turn=-1))
        assert detail.startswith("class register-export got none of 41 dispatches")

    def test_accepts_a_class_that_gets_its_share(self) -> None:
        assert EventualServiceRule().check(self.make_dispatches(served_turn=25)) == []


class TestWholeAnswer:
    """Guards against a rule that misses wrong, foreign and truncated answers.

    A truncated answer is permitted if the caller was told so, left, or used a killed instance.
    """

    RECEIVED = step(0, "entry-1", "received", "r1:status-check")

    @pytest.mark.parametrize(
        ("fields", "detail"),
        [
            ({"body_digest": "x"}, "the body differs from the expected answer"),
            ({"body_digest": "d2"}, "received the answer to r2"),
            ({"complete": False}, "the answer was truncated but not reported as unknown"),
            (
                {"complete": False, "ran": "no"},
                "the answer was truncated but not reported as unknown",
            ),
            ({"status": 0, "complete": False}, "accepted, but no answer was received"),
        ],
    )
    def test_rejects(self, fields: dict[str, Any], detail: str) -> None:
        other = make_caller("r2", expected_digest="d2", body_digest="d2")
        callers = (make_caller("r1", **fields), other)
        assert details(WholeAnswerRule(), make_record(self.RECEIVED, callers=callers)) == [detail]

    @pytest.mark.parametrize(
        ("fields", "steps", "killed"),
        [
            ({}, [RECEIVED], ""),
            ({"status": 503, "ran": "no", "body_digest": "problem"}, [RECEIVED], ""),
            ({"complete": False, "ran": "unknown"}, [RECEIVED], ""),
            ({"complete": False}, [RECEIVED], "entry-1"),
            ({"complete": False}, [], "entry-1"),
            (
                {"complete": False},
                [RECEIVED, step(1, "entry-1", "cancelled", "r1", reason="caller_left")],
                "",
            ),
            ({"status": 0, "complete": False}, [], ""),
        ],
        ids=[
            "whole",
            "refused",
            "reported",
            "killed",
            "event lost",
            "caller left",
            "not accepted",
        ],
    )
    def test_accepts(self, fields: dict[str, Any], steps: list[Step], killed: str) -> None:
        callers = (make_caller("r1", **fields),)
        record = make_record(*steps, callers=callers, killed=frozenset({killed} - {""}))
        assert WholeAnswerRule().check(record) == []


class TestTruthfulNotRun:
    """Guards against a rule that misses work that ran although it was refused as not run."""

    def test_rejects(self) -> None:
        by_caller = make_record(
            callers=(make_caller("r1", status=503, ran="no"),), runs=(make_run("r1"),)
        )
        refused = step(1, "entry-1", "refused", "r1:status-check", ran="no")
        for record in (by_caller, make_record(refused, runs=(make_run("r1"),))):
            assert details(TruthfulNotRunRule(), record) == ['refused as "not run" but ran']

    def test_accepts(self) -> None:
        callers = (
            make_caller("r1", status=502, ran="unknown"),
            make_caller("r2", status=503, ran="no"),
        )
        assert (
            TruthfulNotRunRule().check(make_record(callers=callers, runs=(make_run("r1"),))) == []
        )


class TestOnceOnly:
    """Guards against a rule that misses a second run of a once-only call.

    The second run may be known only to the endpoints, or have no idempotency key.
    """

    @staticmethod
    def make(class_name: str, customers: str, keys: tuple[str, str]) -> FleetRecord:
        names = ("r1", "r2")
        callers = tuple(
            make_caller(name, class_name=class_name, customer=customer)
            for name, customer in zip(names, customers, strict=True)
        )
        runs = tuple(make_run(name, key=key) for name, key in zip(names, keys, strict=True))
        return make_record(callers=callers, runs=runs)

    def test_rejects_a_key_that_ran_twice(self) -> None:
        (detail,) = details(OnceOnlyRule(), self.make("permit-issue", "aa", ("k", "k")))
        assert detail == "key permit-register a k ran 2 times at sidecar-1"

    def test_rejects_a_second_run_known_only_to_the_endpoints(self) -> None:
        runs = (make_run("r1", key="k"), make_run("r2", key="k", instance="sidecar-2"))
        assert len(OnceOnlyRule().check(make_record(runs=runs))) == 1

    def test_rejects_a_repeated_request_without_a_key(self) -> None:
        received = step(0, "entry-1", "received", ONCE)
        runs = (make_run("once"), make_run("once", completed=False))
        assert len(OnceOnlyRule().check(make_record(received, runs=runs))) == 1

    @pytest.mark.parametrize(
        ("class_name", "customers", "keys"),
        [
            ("permit-issue", "aa", ("k1", "k2")),
            ("permit-issue", "ab", ("k", "k")),
            ("status-check", "aa", ("k", "k")),
        ],
        ids=["other key", "other customer", "idempotent"],
    )
    def test_accepts(self, class_name: str, customers: str, keys: tuple[str, str]) -> None:
        assert OnceOnlyRule().check(self.make(class_name, customers, keys)) == []
