"""Tests of the output of the demo."""

import json

from cassiadrum.demo import render
from cassiadrum.loads.load_reports import LoadReport

REPORT = LoadReport(seed=1, duration_s=2.0, services={}, tokens_delivered=30, violations=[])


class TestDemoOutput:
    """Guards against JSON output that a program cannot parse as one document."""

    def test_json_output_is_one_document(self) -> None:
        found = json.loads(render(REPORT, 40, as_json=True))
        assert (found["tokens_delivered"], found["tokens_computed"]) == (30, 40)

    def test_text_output_is_a_table(self) -> None:
        assert render(REPORT, 40, as_json=False).startswith("service ")
