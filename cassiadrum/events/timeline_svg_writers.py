"""Rendering of a timeline as SVG and as an HTML page."""

from collections.abc import Iterator
from html import escape
from typing import Final

import xxhash

from cassiadrum.events.gaps import Gap
from cassiadrum.events.spans import Span, make_spans
from cassiadrum.events.timelines import Timeline

__all__ = ["TimelineSvgWriter"]

ROW_PX: Final = 16
LABEL_PX: Final = 180
PLOT_PX: Final = 1200
MARGIN_PX: Final = 24
# Browsers scroll smoothly up to about this many bars.
BARS_MAX: Final = 5000

STYLE: Final = (
    "text{font:11px sans-serif}.lane{fill:#f4f4f4;stroke:#ccc}"
    ".gap{fill:url(#hatch);stroke:#a00}.open{stroke:#a00;stroke-dasharray:3}.tick{stroke:#000}"
)
HATCH_PATTERN: Final = (
    '<pattern id="hatch" width="6" height="6" patternUnits="userSpaceOnUse">'
    '<path d="M0 6 6 0" stroke="#a00"/></pattern>'
)


class TimelineSvgWriter:
    """Writer of self-contained SVG: a lane for each instance, a bar for each request, and gaps.

    A request has the same colour in every lane. Bars beyond `bars_max` are omitted; the footer
    states their number.
    """

    def __init__(self, bars_max: int = BARS_MAX) -> None:
        self._bars_max = bars_max

    def write(self, timeline: Timeline) -> str:
        """Return the timeline as one SVG element."""
        return _Drawing(timeline, self._bars_max).render()

    def write_html(self, timeline: Timeline, title: str = "Timeline") -> str:
        """Return the timeline as a complete HTML page."""
        return (
            f'<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
            f"<title>{escape(title)}</title></head><body><h1>{escape(title)}</h1>"
            f"{self.write(timeline)}</body></html>\n"
        )


class _Drawing:
    def __init__(self, timeline: Timeline, bars_max: int) -> None:
        self._timeline = timeline
        spans = make_spans(timeline)
        self._omitted_count = max(len(spans) - bars_max, 0)
        self._spans = spans[:bars_max]
        walls_us = [event.hlc.wall_us for event in timeline.events]
        self._first_us, self._last_us = min(walls_us, default=0), max(walls_us, default=0)
        self._lane_tops: dict[str, int] = {}
        self._row_counts: dict[str, int] = {}
        self._height = self._lay_out_lanes()

    def render(self) -> str:
        width = LABEL_PX + PLOT_PX + MARGIN_PX
        parts = [
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{self._height}">',
            f"<style>{STYLE}</style><defs>{HATCH_PATTERN}</defs>",
            *self._lanes(),
            *(self._gap(gap) for gap in self._timeline.gaps),
            *(self._bar(span) for span in self._spans),
            *self._process_events(),
            self._footer(),
            "</svg>",
        ]
        return "\n".join(parts)

    def _lay_out_lanes(self) -> int:
        # Row 0 of a lane is reserved for events that belong to no request.
        for event in self._timeline.events:
            self._row_counts.setdefault(event.instance, 1)
        for gap in self._timeline.gaps:
            self._row_counts.setdefault(gap.instance, 1)
        for span in self._spans:
            self._row_counts[span.instance] = max(self._row_counts[span.instance], span.row + 2)
        top = MARGIN_PX
        for instance in sorted(self._row_counts):
            self._lane_tops[instance] = top
            top += self._row_counts[instance] * ROW_PX + ROW_PX // 2
        return top + MARGIN_PX

    def _x(self, wall_us: int) -> float:
        # A gap may extend beyond the selected events.
        clamped_us = min(max(wall_us, self._first_us), self._last_us)
        length_us = max(self._last_us - self._first_us, 1)
        return round(LABEL_PX + (clamped_us - self._first_us) / length_us * PLOT_PX, 2)

    def _lanes(self) -> Iterator[str]:
        for instance, top in self._lane_tops.items():
            height = self._row_counts[instance] * ROW_PX
            yield f'<text x="4" y="{top + 12}">{escape(instance)}</text>'
            yield (
                f'<rect class="lane" x="{LABEL_PX}" y="{top}" width="{PLOT_PX}" '
                f'height="{height}"/>'
            )

    def _bar(self, span: Span) -> str:
        top = self._lane_tops[span.instance] + (span.row + 1) * ROW_PX
        x, end = self._x(span.start_us), self._x(span.end_us)
        ticks = "".join(self._tick(self._x(event.hlc.wall_us), top) for event in span.events)
        hue = xxhash.xxh64_intdigest(span.request_id.encode()) % 360
        return (
            f'<g><title>{escape(_describe(span))}</title><rect class="{_bar_class(span)}" '
            f'x="{x}" y="{top + 2}" width="{max(end - x, 1):.2f}" height="{ROW_PX - 4}" '
            f'fill="hsl({hue},60%,70%)"/>{ticks}</g>'
        )

    def _process_events(self) -> Iterator[str]:
        for event in self._timeline.events:
            if not event.request_id:
                tick = self._tick(self._x(event.hlc.wall_us), self._lane_tops[event.instance])
                yield f"<g><title>{escape(event.kind.value)}</title>{tick}</g>"

    def _gap(self, gap: Gap) -> str:
        x = self._x(gap.since.wall_us if gap.since else self._first_us)
        end = self._x(gap.until.wall_us if gap.until else self._last_us)
        title = f"{gap.kind.value}, {gap.missing or 'unknown number of'} events missing"
        return (
            f'<g><title>{escape(title)}</title><rect class="gap" x="{x}" '
            f'y="{self._lane_tops[gap.instance]}" width="{max(end - x, 3):.2f}" '
            f'height="{self._row_counts[gap.instance] * ROW_PX}" fill-opacity="0.5"/></g>'
        )

    def _footer(self) -> str:
        length_s = (self._last_us - self._first_us) / 1e6
        left_out = f"; {self._omitted_count} bars left out" if self._omitted_count else ""
        text = f"{length_s:.3f} s, {len(self._spans)} bars{left_out}"
        return f'<text x="{LABEL_PX}" y="{self._height - 8}">{text}</text>'

    @staticmethod
    def _tick(x: float, top: int) -> str:
        return f'<path class="tick" d="M{x} {top + 2}v{ROW_PX - 4}"/>'


def _bar_class(span: Span) -> str:
    return "bar" if span.ended else "bar open"


def _describe(span: Span) -> str:
    first = span.events[0]
    lines = [f"{span.request_id} {first.service} {first.class_name}"]
    for event in span.events:
        offset_ms = (event.hlc.wall_us - span.start_us) / 1e3
        lines.append(f"+{offset_ms:.1f} ms {event.kind.value}")
    return "\n".join(lines)
