"""Tests of the output of the demo."""

import json
import subprocess
import sys

import pytest

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


@pytest.mark.integration
class TestDemoProcess:
    """Guards against output after the result of the demo, such as that of unclosed connections.

    asyncio closes the connections that are left in their finalizers. Once the event loop has
    ended that raises, and each prints a traceback.
    """

    def test_result_is_the_end_of_the_output(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "cassiadrum.demo"], capture_output=True, text=True, check=False
        )
        assert "Traceback" not in completed.stderr
        assert "Exception ignored" not in completed.stderr
        assert completed.stdout.endswith("\ninvariant violations: 0 (from events and runs)\n")
        assert completed.returncode == 0
