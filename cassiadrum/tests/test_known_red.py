"""Tests of the list of tests that are known to fail."""

import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parents[2] / "conftest.py"
TESTS = "def test_listed():\n    assert False\n\n\ndef test_other():\n    assert {other}\n"
LIST = "test: cassiadrum/tests/test_x.py::test_listed\n  command: pytest\n  seen: fails\n"


class TestKnownRed:
    """Guards against a wrong exit code of a run in which tests fail.

    conftest.py turns the failures of the tests in KNOWN-RED.txt into expected ones. A listed test
    must not fail the run, and an unlisted one must.
    """

    @pytest.mark.parametrize(("other", "code"), [("True", 0), ("False", 1)])
    def test_only_listed_tests_may_fail(self, tmp_path: Path, other: str, code: int) -> None:
        tests = tmp_path / "cassiadrum" / "tests"
        tests.mkdir(parents=True)
        (tmp_path / "conftest.py").write_text(CONFTEST.read_text())
        (tests / "test_x.py").write_text(TESTS.format(other=other))
        (tmp_path / "KNOWN-RED.txt").write_text(LIST)
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "cassiadrum"]
        completed = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, check=False
        )
        assert completed.returncode == code, completed.stdout
        assert "KNOWN-RED cassiadrum/tests/test_x.py::test_listed: failed" in completed.stdout
        assert "E       assert False" in completed.stdout
