"""The list of tests that are known to fail."""

from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"
KNOWN_RED_KEY = pytest.StashKey[set[str]]()


def parse_known_red(text: str) -> set[str]:
    """Return the node ids of a KNOWN-RED.txt; lines that begin with `test: ` name one each."""
    return {line[6:].strip() for line in text.splitlines() if line.startswith("test: ")}


def pytest_configure(config: pytest.Config) -> None:
    """Read the list."""
    text = KNOWN_RED_PATH.read_text() if KNOWN_RED_PATH.exists() else ""
    config.stash[KNOWN_RED_KEY] = parse_known_red(text)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    """Report a listed test's failure as an expected one, so that it does not fail the run."""
    report: pytest.TestReport = yield  # type: ignore[assignment]
    if report.failed and item.nodeid in item.config.stash[KNOWN_RED_KEY]:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    return report  # type: ignore[return-value]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed and those that passed."""
    listed = terminalreporter.config.stash[KNOWN_RED_KEY]
    for outcome, text in (("xfailed", "failed"), ("passed", "passed; remove it from the list")):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in listed and getattr(report, "when", "call") != "teardown":
                terminalreporter.write_line(f"KNOWN-RED {report.nodeid}: {text}")
