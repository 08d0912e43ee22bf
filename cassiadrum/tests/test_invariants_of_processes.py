"""Tests of the rules about processes, on records with and without violations."""

from typing import Any

import pytest

from cassiadrum.invariants import (
    RULES,
    ConfigurationMonotonicRule,
    FleetRecord,
    LeavingEndpointRule,
    Outage,
    PlannedStopRule,
    Rule,
    check_record,
)
from cassiadrum.tests.records import Step, make_record, make_run, step

TOP, LOW, ONCE = "top:status-check", "low:register-export", "once:permit-issue"


def details(rule: Rule, record: FleetRecord) -> list[str]:
    return [violation.detail for violation in rule.check(record)]


def queued_steps(*requests: str, instance: str = "entry-1") -> list[Step]:
    return [step(0, instance, "queued", request) for request in requests]


class TestLeavingEndpoint:
    """Guards against a rule that misses work sent to a leaving endpoint.

    The work may show only in an event of one process or in a run of the endpoint. Work for a
    restarted instance and stale notices about its earlier process are no violations.
    """

    DRAINING = step(10, "sidecar-1", "draining")
    LEAVING = step(10, "entry-1", "member_leaving", member="sidecar-1")

    @pytest.mark.parametrize(
        "steps",
        [
            [DRAINING, step(13.1, "entry-1", "dispatched", TOP, to="sidecar-1")],
            [LEAVING, step(13.1, "entry-2", "hedged", TOP, to="sidecar-1")],
            [LEAVING, step(13.1, "sidecar-1", "started", TOP)],
            [
                step(5, "sidecar-1", "process_started"),
                step(8, "entry-1", "connected", peer="sidecar-1"),
                LEAVING,
                step(13.1, "entry-2", "dispatched", TOP, to="sidecar-1"),
            ],
        ],
    )
    def test_rejects_events(self, steps: list[Step]) -> None:
        assert len(LeavingEndpointRule().check(make_record(*steps))) == 1

    def test_rejects_a_run_that_only_the_endpoint_recorded(self) -> None:
        record = make_record(self.DRAINING, runs=(make_run("r1", 13.1), make_run("r2", 12.9)))
        assert [violation.request_id for violation in LeavingEndpointRule().check(record)] == [
            "r1"
        ]

    @pytest.mark.parametrize(
        "steps",
        [
            [DRAINING, step(12.9, "entry-1", "dispatched", TOP, to="sidecar-1")],
            [DRAINING, step(20, "entry-1", "dispatched", TOP, to="sidecar-2")],
            [
                LEAVING,
                step(15, "sidecar-1", "process_started"),
                step(20, "sidecar-1", "started", TOP),
            ],
            [
                step(5, "entry-1", "connected", peer="sidecar-1"),
                step(8, "sidecar-1", "process_started"),
                LEAVING,
                step(13.1, "entry-2", "dispatched", TOP, to="sidecar-1"),
            ],
        ],
        ids=["in time", "other endpoint", "restarted", "stale notice of an earlier process"],
    )
    def test_accepts(self, steps: list[Step]) -> None:
        assert LeavingEndpointRule().check(make_record(*steps)) == []

    def test_accepts_runs_after_the_instance_restarted(self) -> None:
        steps = [self.DRAINING, step(15, "sidecar-1", "process_started")]
        record = make_record(*steps, runs=(make_run("r1", 12.9), make_run("r2", 20)))
        assert LeavingEndpointRule().check(record) == []


class TestPlannedStop:
    """Guards against a rule that misses requests interrupted by a planned stop.

    Requests that end, never started, arrive during the drain or are past their deadline are no
    violations.
    """

    DRAINING, STOPPED = step(5, "sidecar-1", "draining"), step(9, "sidecar-1", "stopped")
    STARTED = step(1, "sidecar-1", "started", TOP)

    @pytest.mark.parametrize(
        ("steps", "detail"),
        [
            ([STARTED, DRAINING, STOPPED], "still in flight when the process stopped"),
            (
                [STARTED, DRAINING, step(6, "sidecar-1", "cancelled", TOP, reason="draining")],
                "cut off by a planned stop",
            ),
            (
                [
                    step(1, "entry-1", "received", TOP),
                    step(5, "entry-1", "draining"),
                    step(6, "entry-1", "refused", TOP, reason="draining"),
                ],
                "cut off by a planned stop",
            ),
        ],
        ids=["no end", "cancelled", "refused"],
    )
    def test_rejects(self, steps: list[Step], detail: str) -> None:
        assert details(PlannedStopRule(), make_record(*steps)) == [detail]

    def test_rejects_a_drain_without_stopped_unless_killed(self) -> None:
        steps = [self.STARTED, self.DRAINING]
        crashed = make_record(*steps, alive=False)
        killed = make_record(*steps, alive=False, killed=frozenset({"sidecar-1"}))
        assert len(PlannedStopRule().check(crashed)) == 1
        assert PlannedStopRule().check(killed) == []

    @pytest.mark.parametrize(
        "steps",
        [
            [STARTED, DRAINING, step(6, "sidecar-1", "finished", TOP), STOPPED],
            [
                DRAINING,
                *queued_steps(TOP, instance="sidecar-1"),
                step(6, "sidecar-1", "rejected", TOP, reason="draining"),
                STOPPED,
            ],
            [
                step(5, "entry-1", "draining"),
                step(6, "entry-1", "received", TOP),
                step(6, "entry-1", "refused", TOP, reason="draining"),
                step(7, "entry-1", "stopped"),
            ],
            # The deadline of the class is 10 s.
            [STARTED, DRAINING, step(12, "sidecar-1", "cancelled", TOP, reason="draining")],
        ],
        ids=["finished", "not started", "new request", "past deadline"],
    )
    def test_accepts(self, steps: list[Step]) -> None:
        assert PlannedStopRule().check(make_record(*steps)) == []


class TestConfigurationMonotonic:
    """Guards against a rule that misses versions that are reverted, late or ambiguous.

    A process may skip a version for a newer one, and an outage extends the deadline.
    """

    PROCESS_STARTED = step(0, "sidecar-1", "process_started")
    ACCEPTED = step(10, "entry-1", "configuration_accepted", version=2, operation_id="o1")
    APPLIED_AT_ENTRY = step(10, "entry-1", "configuration_applied", version=2, digest="x")
    END = step(100, "entry-1", "member_joined")

    @staticmethod
    def applied(at_s: float, version: int = 2, **fields: Any) -> Step:
        return step(at_s, "sidecar-1", "configuration_applied", version=version, **fields)

    @pytest.mark.parametrize(
        ("steps", "detail"),
        [
            ([], "permit-register 2 is not in force at its deadline"),
            ([(21.1, 2)], "permit-register 2 is not in force at its deadline"),
            ([(11, 2), (12, 1)], "permit-register 1 applied after 2"),
            ([(11, 2), (12, 2)], "permit-register 2 applied after 2"),
        ],
        ids=["never", "late", "reverted", "repeated"],
    )
    def test_rejects(self, steps: list[tuple[float, int]], detail: str) -> None:
        applied = [self.applied(at_s, version) for at_s, version in steps]
        record = make_record(
            self.PROCESS_STARTED, self.ACCEPTED, self.APPLIED_AT_ENTRY, *applied, self.END
        )
        assert details(ConfigurationMonotonicRule(), record) == [detail]

    def test_rejects_one_version_with_two_contents(self) -> None:
        other = step(11, "entry-2", "configuration_accepted", version=2, operation_id="o2")
        steps = [
            self.PROCESS_STARTED,
            self.ACCEPTED,
            self.APPLIED_AT_ENTRY,
            other,
            self.applied(11, digest="y"),
        ]
        assert details(ConfigurationMonotonicRule(), make_record(*steps)) == [
            "permit-register 2 has operation_id o2 and o1",
            "permit-register 2 has digest y and x",
        ]

    @pytest.mark.parametrize(
        ("steps", "parts"),
        [
            ([(20.9, 2)], {}),
            ([(11, 3)], {}),
            ([(50, 2)], {"outages": (Outage("sidecar-1", 5, 40),)}),
        ],
        ids=["in time", "newer", "outage"],
    )
    def test_accepts(self, steps: list[tuple[float, int]], parts: dict[str, Any]) -> None:
        applied = [self.applied(at_s, version) for at_s, version in steps]
        record = make_record(
            self.PROCESS_STARTED, self.ACCEPTED, self.APPLIED_AT_ENTRY, *applied, self.END, **parts
        )
        assert ConfigurationMonotonicRule().check(record) == []

    def test_accepts_a_process_that_stopped_before_the_version_was_due(self) -> None:
        stopped = step(20, "sidecar-1", "stopped")
        record = make_record(
            self.PROCESS_STARTED, self.ACCEPTED, self.APPLIED_AT_ENTRY, stopped, self.END
        )
        assert ConfigurationMonotonicRule().check(record) == []


class TestCheckRecord:
    """Guards against an invariant that has no rule or whose rule is not run."""

    def test_has_the_eight_invariants(self) -> None:
        assert [rule.name for rule in RULES] == [
            "tier_safety",
            "eventual_service",
            "whole_answer",
            "truthful_not_run",
            "once_only",
            "leaving_endpoint",
            "planned_stop",
            "configuration_monotonic",
        ]

    def test_reports_the_violations_of_all_rules(self) -> None:
        record = make_record(
            *queued_steps(LOW),
            step(1, "entry-1", "received", TOP),
            step(2, "entry-1", "refused", TOP, reason="overloaded", ran="no"),
            runs=(make_run("top"),),
        )
        assert [str(violation) for violation in check_record(record)] == [
            "tier_safety: protected class status-check: shed while lower-tier low was kept "
            "(top entry-1)",
            'truthful_not_run: refused as "not run" but ran (top sidecar-1)',
        ]

    def test_empty_record(self) -> None:
        assert check_record(make_record()) == []
