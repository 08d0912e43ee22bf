"""Tests of events, their order and their encodings."""

import json
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiadrum.events import (
    Event,
    EventError,
    EventFilter,
    EventKind,
    EventRing,
    GapKind,
    HybridLogicalClock,
    HybridTimestamp,
    decode_event,
    encode_event,
    merge_events,
    read_json_lines,
    to_json_line,
)


def make_ring(instance: str = "a", wall_s: float = 100.0, **options: Any) -> EventRing:
    return EventRing(
        HybridLogicalClock(lambda: wall_s), instance, "entry", f"{instance}-1", **options
    )


class TestHybridLogicalClock:
    """Guards against an effect that is ordered before its cause.

    Wall clocks differ between processes and may go back; one that is far ahead is ignored.
    """

    def test_time_ascends_while_the_wall_clock_goes_back(self) -> None:
        walls = iter([100.0, 90.0, 90.0, 101.0])
        clock = HybridLogicalClock(lambda: next(walls))
        times = [clock.tick() for _ in range(4)]
        assert times == sorted(set(times))

    def test_effect_is_after_a_cause_from_a_clock_that_is_ahead(self) -> None:
        ahead, behind = HybridLogicalClock(lambda: 200.0), HybridLogicalClock(lambda: 100.0)
        cause = ahead.tick()
        assert behind.observe(cause)
        assert behind.tick() > cause

    def test_wrong_clock_of_a_peer_is_ignored(self) -> None:
        clock = HybridLogicalClock(lambda: 100.0)
        assert not clock.observe(HybridTimestamp(2**60, 0))
        assert clock.tick().seconds == 100.0
        assert clock.ignored_count == 1


class TestEventRing:
    """Guards against unbounded memory and against lost events that are not counted.

    A full ring overwrites its oldest events; readers page through the others.
    """

    def test_overwrites_the_oldest_and_counts_them(self) -> None:
        ring = make_ring(capacity=3)
        for index in range(5):
            ring.record(EventKind.RECEIVED, f"r{index}")
        assert (len(ring), ring.overwritten_count, ring.last_sequence) == (3, 2, 5)
        assert [event.sequence for event in ring.read_after(0, 10)] == [3, 4, 5]

    @pytest.mark.parametrize(
        ("sequence", "limit", "expected"),
        [(0, 2, [3, 4]), (3, 2, [4, 5]), (4, 9, [5]), (5, 9, []), (99, 9, [])],
    )
    def test_pages(self, sequence: int, limit: int, expected: list[int]) -> None:
        ring = make_ring(capacity=3)
        for _ in range(5):
            ring.record(EventKind.RECEIVED)
        assert [event.sequence for event in ring.read_after(sequence, limit)] == expected


class TestMerge:
    """Guards against a merged timeline that hides lost events or misorders the others.

    The events come from processes with different clocks, and some may be overwritten, missing or
    lost at a crash.
    """

    def test_cause_is_before_effect_over_processes(self) -> None:
        entry, sidecar = make_ring("entry", 200.0), make_ring("sidecar", 100.0)
        cause = entry.record(EventKind.DISPATCHED, "r")
        sidecar.clock.observe(cause.hlc)
        effect = sidecar.record(EventKind.STARTED, "r")
        entry.clock.observe(effect.hlc)
        last = entry.record(EventKind.FINISHED, "r")
        assert merge_events([effect, last, cause, cause]).events == [cause, effect, last]

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.floats(0, 3000), min_size=3, max_size=3),
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.floats(-5, 5)), max_size=20),
    )
    def test_messages_over_jumping_clocks(
        self, walls: list[float], messages: list[tuple[int, int, float]]
    ) -> None:
        clocks = [HybridLogicalClock(lambda i=index: walls[i]) for index in range(3)]  # type: ignore[misc]
        rings = [EventRing(clock, f"p{i}", "entry", f"s{i}") for i, clock in enumerate(clocks)]
        pairs = []
        for number, (sender, receiver, jump_s) in enumerate(messages):
            walls[sender] = min(max(walls[sender] + jump_s, 0), 3000)
            cause = rings[sender].record(EventKind.DISPATCHED, f"m{number}")
            rings[receiver].clock.observe(cause.hlc)
            pairs.append((cause, rings[receiver].record(EventKind.STARTED, f"m{number}")))
        merged = merge_events(event for ring in rings for event in ring.read_after(0, 99)).events
        places = {(event.instance, event.sequence): i for i, event in enumerate(merged)}
        for cause, effect in pairs:
            before = places[cause.instance, cause.sequence]
            assert before < places[effect.instance, effect.sequence]

    def test_marks_each_kind_of_gap(self) -> None:
        ring = make_ring(capacity=4)
        for _ in range(6):
            ring.record(EventKind.RECEIVED)
        first, _, *rest = ring.read_after(0, 9)
        gaps = merge_events([first, *rest]).gaps
        assert [(gap.kind, gap.missing) for gap in gaps] == [
            (GapKind.OVERWRITTEN, 2),
            (GapKind.MISSING, 1),
            (GapKind.NOT_STOPPED, 0),
        ]

    def test_stopped_and_running_processes_have_no_gap_at_the_end(self) -> None:
        stopped, running = make_ring("a"), make_ring("b")
        events = [stopped.record(EventKind.STOPPED), running.record(EventKind.RECEIVED)]
        assert merge_events(events, running_start_ids=["b-1"]).gaps == []


class TestEventFilter:
    """Guards against a filter that returns events outside of the selection or omits some of it."""

    @pytest.mark.parametrize(
        ("selection", "expected"),
        [
            (EventFilter(), ["r1", "r2"]),
            (EventFilter(request_id="r2"), ["r2"]),
            (EventFilter(service="s1"), ["r1"]),
            (EventFilter(class_name="c2"), ["r2"]),
            (EventFilter(instance="other"), []),
            (EventFilter(kinds=frozenset({EventKind.QUEUED})), ["r2"]),
            (EventFilter(since_s=100.0, until_s=100.5), ["r1", "r2"]),
            (EventFilter(since_s=100.5), []),
            (EventFilter(until_s=100.0), []),
        ],
    )
    def test_selects(self, selection: EventFilter, expected: list[str]) -> None:
        ring = make_ring()
        ring.record(EventKind.RECEIVED, "r1", "s1", "c1")
        ring.record(EventKind.QUEUED, "r2", "s2", "c2")
        assert [event.request_id for event in selection.apply(ring.read_after(0, 9))] == expected


class TestCodecs:
    """Guards against events that change or are lost in the transfer to another process.

    The sender may be a newer version, and its data may be malformed.
    """

    EVENT = Event(
        HybridTimestamp(1_700_000_000_000_001, 3),
        "entry-1",
        "entry",
        EventKind.REFUSED,
        "r1",
        "permit-register",
        "permit-issue",
        "chapter of St. Jürgen",
        {"reason": "deadline", "retry_after_s": 1.5, "list": [1, None, True]},
        7,
        "start",
    )

    def test_round_trips(self) -> None:
        assert decode_event(cbor2.loads(cbor2.dumps(encode_event(self.EVENT)))) == self.EVENT
        line = to_json_line(self.EVENT)
        assert "\n" not in line
        assert list(read_json_lines([line, "\n", line.encode()])) == [self.EVENT] * 2

    def test_kind_of_a_newer_version_is_kept(self) -> None:
        plain = json.loads(to_json_line(self.EVENT)) | {"kind": "teleported"}
        (event,) = read_json_lines([json.dumps(plain)])
        assert event.kind is EventKind.UNKNOWN
        assert event.fields["unknown_kind"] == "teleported"

    @pytest.mark.parametrize("line", ["{}", "[]", "{", "1", '{"hlc": "x"}'])
    def test_error_names_the_malformed_line(self, line: str) -> None:
        with pytest.raises(EventError, match="line 2"):
            list(read_json_lines(["", line]))

    @pytest.mark.parametrize("plain", [None, [], ["x"] * 11, {"hlc": 1}])
    def test_malformed_list_is_an_error(self, plain: object) -> None:
        with pytest.raises(EventError):
            decode_event(plain)
