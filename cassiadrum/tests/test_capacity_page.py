"""Tests that the capacity page agrees with the committed measurements."""

import json
from pathlib import Path
from typing import Any

import pytest

from bench.capacity.extrapolations import EXTRAPOLATIONS, totals
from bench.capacity.fits import fit_line
from bench.capacity.pages import BEGIN, END, render_tables

ROOT = Path(__file__).parents[2]


@pytest.fixture(scope="module")
def report() -> Any:
    return json.loads((ROOT / "bench" / "capacity.json").read_text())


@pytest.fixture(scope="module")
def page() -> str:
    return (ROOT / "docs" / "CAPACITY.md").read_text()


class TestCapacityPage:
    """Guards against figures on the page that do not follow from the measurements.

    Page and measurements are separate files, so one can change without the other.
    """

    def test_lines_follow_from_the_points(self, report: Any) -> None:
        for name, entry in report["series"].items():
            fit = fit_line([(x, y) for x, y in entry["points"]])
            for field, value in fit._asdict().items():
                assert entry[field] == pytest.approx(value), name

    def test_extrapolations_follow_from_the_lines(self, report: Any, page: str) -> None:
        for part in EXTRAPOLATIONS:
            line = report["series"][part.series]
            base = 0.0 if part.slope_only else line["intercept"]
            value = part.factor * (base + line["slope"] * part.x)
            row = next(
                row
                for row in page.splitlines()
                if row.startswith(f"| {part.role} | {part.resource} | `{part.series}`")
            )
            assert f"| {value:.4g} {part.unit} |" in row

    def test_verdicts_follow_from_the_sums(self, report: Any, page: str) -> None:
        for total in totals(report):
            verdict = "fits" if total.value <= total.limit else "does not fit"
            start = f"| {total.role} | {total.value:.4g} {total.unit} | "
            row = next(row for row in page.splitlines() if row.startswith(start))
            assert row.endswith(f"| {verdict} |")

    def test_tables_are_those_of_the_committed_file(self, report: Any, page: str) -> None:
        shown = page.partition(BEGIN)[2].partition(END)[0]
        assert shown.strip() == render_tables(report).strip()


class TestFit:
    """Guards against a wrong linear fit, on which all extrapolations depend."""

    def test_exact_line(self) -> None:
        fit = fit_line([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
        assert fit == pytest.approx((2.0, 3.0, 1.0, 0.0))

    def test_scatter_lowers_r_squared(self) -> None:
        fit = fit_line([(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)])
        assert fit.r_squared == pytest.approx(0.25)
        assert fit.error == pytest.approx(0.866, abs=1e-3)
