"""Generation of the figures on the capacity page from the committed report."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from bench.capacity.extrapolations import EXTRAPOLATIONS, read_fit, totals

__all__ = ["render_tables", "write_page"]

PAGE_PATH: Final = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
BEGIN: Final = "<!-- figures: written by `python -m bench.capacity --page` -->"
END: Final = "<!-- end of figures -->"

MECHANISMS: Final = {
    "dialer_link_memory_bytes": "subsets bound the links of an entry instance",
    "sidecar_link_memory_bytes": "subsets bound the links of a sidecar",
    "endpoint_memory_bytes": "subset of 64",
    "service_memory_bytes": "one record and one parsed document for each service",
    "customer_memory_bytes": "bounded estimators, two windows of customer ranks",
    "queue_memory_bytes": "queue bounded by requests and tokens",
    "event_memory_bytes": "bounded ring",
    "kept_answer_memory_bytes": "kept for 60 s",
    "dialer_link_cpu_us_per_s": "slow heartbeats of idle links",
    "sidecar_link_cpu_us_per_s": "slow heartbeats of idle links",
    "link_control_bytes_per_s": "slow heartbeats and reports of idle links",
    "change_time_us": "digest gossip, applied once by each process",
}


def write_page(report: Mapping[str, Any]) -> None:
    """Replace the generated figures on the page."""
    text = PAGE_PATH.read_text()
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    PAGE_PATH.write_text(f"{before}{BEGIN}\n\n{render_tables(report)}\n{END}{after}")


def render_tables(report: Mapping[str, Any]) -> str:
    """Return the tables of runs, fitted lines, extrapolations, totals and idle figures."""
    return "\n".join(
        (
            _table(("run", "at (UTC)", "load average before"), _runs(report)),
            "### Lines\n",
            _table(("series", "from", "to", "slope", "intercept", "R²", "error"), _lines(report)),
            "### Extrapolation to the target size\n",
            _table(("role", "of", "series", "at", "figure", "mechanism"), _rows(report)),
            "### Sums against the limits\n",
            _table(("role", "sum", "limit", "share of the limit", "verdict"), _sums(report)),
            "### At rest and spread of a configuration\n",
            _table(("figure", "value"), _figures(report)),
        )
    )


def _table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _runs(report: Mapping[str, Any]) -> list[tuple[str, ...]]:
    return [
        (f"`python -m bench.capacity {name}`", run["at"], f"{run['load_average']:.1f}")
        for name, run in sorted(report["runs"].items())
    ]


def _lines(report: Mapping[str, Any]) -> list[tuple[str, ...]]:
    rows: list[tuple[str, ...]] = []
    for name, entry in sorted(report["series"].items()):
        fit, xs = read_fit(report, name), [x for x, _ in entry["points"]]
        rows.append(
            (
                f"`{name}`",
                f"{min(xs):g}",
                f"{max(xs):g}",
                f"{fit.slope:.4g}",
                f"{fit.intercept:.4g}",
                f"{fit.r_squared:.4f}",
                f"±{fit.error:.2g}",
            )
        )
    return rows


def _rows(report: Mapping[str, Any]) -> list[tuple[str, ...]]:
    return [
        (
            part.role,
            part.resource,
            f"`{part.series}`" + (", slope only" if part.slope_only else ""),
            f"{part.x:.5g}",
            f"{part.value(report):.4g} {part.unit}",
            MECHANISMS[part.series],
        )
        for part in EXTRAPOLATIONS
    ]


def _sums(report: Mapping[str, Any]) -> list[tuple[str, ...]]:
    return [
        (
            total.role,
            f"{total.value:.4g} {total.unit}",
            f"{total.limit:g} {total.unit}",
            f"{total.value / total.limit:.2f}",
            "fits" if total.value <= total.limit else "does not fit",
        )
        for total in totals(report)
    ]


def _figures(report: Mapping[str, Any]) -> list[tuple[str, ...]]:
    return [
        (f"`{part}.{name}`", f"{value:.4g}")
        for part in ("rest", "spread")
        for name, value in sorted(report.get(part, {}).items())
    ]
