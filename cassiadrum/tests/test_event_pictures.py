"""Tests of a timeline's output as trace file, SVG and HTML."""

import json
from xml.etree import ElementTree

from cassiadrum.events import (
    EventFilter,
    EventKind,
    EventRing,
    HybridLogicalClock,
    Timeline,
    TimelineSvgWriter,
    TraceWriter,
    make_spans,
    merge_events,
)

SVG = "{http://www.w3.org/2000/svg}"


def make_timeline() -> Timeline:
    walls = iter([10.0, 10.1, 10.2, 10.3, 10.4])
    ring = EventRing(HybridLogicalClock(lambda: next(walls)), "a<&", "entry", "a-1")
    ring.record(EventKind.RECEIVED, "r1", customer='"Rosenheim" & Sohn')
    ring.record(EventKind.RECEIVED, "r2<script>")
    ring.record(EventKind.MEMBER_JOINED, member="s1")
    ring.record(EventKind.FINISHED, "r1")
    ring.record(EventKind.RECEIVED, "r3")
    return merge_events(event for event in ring.read_after(0, 9) if event.sequence != 3)


class TestSpans:
    """Guards against bars of overlapping requests that cover each other in one row."""

    def test_overlapping_requests_have_different_rows(self) -> None:
        spans = make_spans(make_timeline())
        assert [(span.request_id, span.row, span.ended) for span in spans] == [
            ("r1", 0, True),
            ("r2<script>", 1, False),
            ("r3", 0, False),
        ]


class TestTraceWriter:
    """Guards against files that trace viewers cannot open or that hide gaps.

    Gaps outside of the selected events are drawn at the edge of the selection.
    """

    def test_entries_have_the_keys_of_the_format(self) -> None:
        entries = json.loads(TraceWriter().write(make_timeline()))["traceEvents"]
        assert all({"ph", "name", "pid", "tid"} <= entry.keys() for entry in entries)
        assert all(entry["ts"] >= 0 for entry in entries if entry["ph"] != "M")
        bars = {e["name"]: e["dur"] for e in entries if e["ph"] == "X" and e["cat"] == "request"}
        assert bars == {"r1": 300_000, "r2<script>": 0, "r3": 0}
        gaps = [e["name"] for e in entries if e.get("cat") == "gap"]
        assert gaps == ["gap: missing", "gap: not_stopped"]

    def test_gaps_outside_the_selection_are_drawn_at_its_edge(self) -> None:
        for selection in (EventFilter(until_s=10.05), EventFilter(request_id="none")):
            timeline = selection.select(make_timeline())
            assert len(timeline.gaps) == 2
            entries = json.loads(TraceWriter().write(timeline))["traceEvents"]
            gaps = [entry for entry in entries if entry.get("cat") == "gap"]
            assert [(gap["ts"], gap["dur"]) for gap in gaps] == [(0, 0)] * 2
            root = ElementTree.fromstring(TimelineSvgWriter().write(timeline))
            assert [r.get("x") for r in root.iter(f"{SVG}rect")][:3] == ["180", "180.0", "180.0"]

    def test_empty_timeline(self) -> None:
        assert json.loads(TraceWriter().write(Timeline([], [])))["traceEvents"] == []


class TestTimelineSvgWriter:
    """Guards against output that is not well-formed, loads external files or hides gaps.

    Names of instances, requests and customers may contain markup and have to be escaped.
    """

    def test_is_well_formed_and_shows_bars_and_gaps(self) -> None:
        root = ElementTree.fromstring(TimelineSvgWriter().write(make_timeline()))
        classes = [rect.get("class") for rect in root.iter(f"{SVG}rect")]
        assert classes == ["lane", "gap", "gap", "bar", "bar open", "bar open"]
        assert any("a<&" in (text.text or "") for text in root.iter(f"{SVG}text"))

    def test_omitted_bars_are_counted(self) -> None:
        assert "2 bars left out" in TimelineSvgWriter(bars_max=1).write(make_timeline())

    def test_page_is_self_contained_and_escaped(self) -> None:
        page = TimelineSvgWriter().write_html(make_timeline(), "<b>")
        assert "<script" not in page
        assert "<b>" not in page
        assert "src=" not in page
        assert "href=" not in page

    def test_empty_timeline(self) -> None:
        ElementTree.fromstring(TimelineSvgWriter().write(Timeline([], [])))
