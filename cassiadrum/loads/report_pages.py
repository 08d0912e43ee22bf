"""Load report as one self-contained HTML page."""

import math
from html import escape
from typing import Any, Final

from cassiadrum.loads.load_reports import LoadReport

__all__ = ["render_page"]

WIDTH: Final = 900
ROW_HEIGHT: Final = 26
LABEL_WIDTH: Final = 260
AXIS_MIN_S: Final = 0.001
AXIS_MAX_S: Final = 1000.0
COLOURS: Final = {"p50": "#2b6cb0", "p90": "#63b3ed", "p99": "#dd6b20", "max": "#a0aec0"}
STYLE: Final = (
    "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
)
COLUMNS: Final = ("class", "sent", "answered", "attained", "p50 s", "p99 s", "target s", "tokens")


def render_page(report: LoadReport) -> str:
    """Return the page with a summary, a plot of latencies by class and a table."""
    rows = [
        (f"{service} / {name}", row)
        for service, classes in report.services.items()
        for name, row in classes.items()
    ]
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Load report</title>'
        f"<style>{STYLE}</style></head><body><h1>Load report</h1>{_summary(report)}"
        f"<h2>Latency by class</h2>{_plot(rows)}<h2>Classes</h2>{_table(rows)}</body></html>\n"
    )


def _summary(report: LoadReport) -> str:
    violations = "not checked" if report.violations is None else str(len(report.violations))
    wasted = "not read" if report.tokens_wasted is None else str(report.tokens_wasted)
    summary = {
        "Seed": report.seed,
        "Duration": f"{report.duration_s:g} s",
        "Delivered tokens": report.tokens_delivered,
        "Wasted tokens": wasted,
        "Invariant violations": violations,
    }
    items = "".join(f"<li>{escape(k)}: {escape(str(v))}</li>" for k, v in summary.items())
    found = "".join(
        f"<li>{escape(violation.rule)}: {escape(violation.detail)}</li>"
        for violation in report.violations or []
    )
    return f"<ul>{items}</ul>" + (f"<h2>Violations</h2><ul>{found}</ul>" if found else "")


def _plot(rows: list[tuple[str, dict[str, Any]]]) -> str:
    height = ROW_HEIGHT * (len(rows) + 2)
    parts = [f'<line x1="{x:.1f}" y1="0" x2="{x:.1f}" y2="{height}" stroke="#eee"/>' + label
             for x, label in _decades(height)]  # fmt: skip
    for index, (name, row) in enumerate(rows):
        parts.append(_plot_row(ROW_HEIGHT * (index + 1), name, row))
    legend = "".join(
        f'<text x="{LABEL_WIDTH + 70 * index}" y="14" fill="{colour}">{name}</text>'
        for index, (name, colour) in enumerate({**COLOURS, "target": "#c53030"}.items())
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        f'font-size="12" role="img">{"".join(parts)}{legend}</svg>'
    )


def _decades(height: int) -> list[tuple[float, str]]:
    marks = []
    for power in range(round(math.log10(AXIS_MIN_S)), round(math.log10(AXIS_MAX_S)) + 1):
        x = _axis_x(10.0**power)
        marks.append((x, f'<text x="{x:.1f}" y="{height - 6}">{10.0**power:g} s</text>'))
    return marks


def _plot_row(y: int, name: str, row: dict[str, Any]) -> str:
    label = f'<text x="0" y="{y + 17}">{escape(name)}</text>'
    target = _axis_x(row["target_s"])
    line = (
        f'<line x1="{target:.1f}" y1="{y + 3}" x2="{target:.1f}" y2="{y + 23}" '
        'stroke="#c53030" stroke-width="2"/>'
    )
    dots = "".join(
        f'<circle cx="{_axis_x(row["latency_s"][key]):.1f}" cy="{y + 13}" r="5" fill="{colour}">'
        f"<title>{key} {row['latency_s'][key]:.4f} s</title></circle>"
        for key, colour in COLOURS.items()
        if key in row["latency_s"]
    )
    return label + line + dots


def _axis_x(seconds: float) -> float:
    """Return the position of a time on the logarithmic axis, in pixels."""
    share = math.log(min(max(seconds, AXIS_MIN_S), AXIS_MAX_S) / AXIS_MIN_S) / math.log(
        AXIS_MAX_S / AXIS_MIN_S
    )
    return LABEL_WIDTH + share * (WIDTH - LABEL_WIDTH - 60)


def _table(rows: list[tuple[str, dict[str, Any]]]) -> str:
    head = "".join(f"<th>{column}</th>" for column in (*COLUMNS, "refusals"))
    body = "".join(f"<tr>{_cells(name, row)}</tr>" for name, row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"


def _cells(name: str, row: dict[str, Any]) -> str:
    latency = row["latency_s"]
    share = "" if row["attainment"] is None else f"{row['attainment']:.1%}"
    refused = ", ".join(f"{why} {count}" for why, count in sorted(row["refusals"].items()))
    values = (
        name,
        row["sent"],
        row["answered"],
        share,
        f"{latency['p50']:.4f}" if latency else "",
        f"{latency['p99']:.4f}" if latency else "",
        f"{row['target_s']:g}",
        row["goodput_tokens"],
        refused,
    )
    return "".join(f"<td>{escape(str(value))}</td>" for value in values)
