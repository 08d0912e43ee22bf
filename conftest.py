"""Pytest hooks that let tests listed in KNOWN-RED.txt fail without failing the run."""

import gc
from collections.abc import Iterator
from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"
KNOWN_RED_KEY = pytest.StashKey[set[str]]()


def parse_known_red(text: str) -> set[str]:
    """Return the node ids in the text of KNOWN-RED.txt, one per line that begins with `test: `."""
    return {line[6:].strip() for line in text.splitlines() if line.startswith("test: ")}


def pytest_configure(config: pytest.Config) -> None:
    """Read the node ids in KNOWN-RED.txt, if the file exists."""
    text = KNOWN_RED_PATH.read_text() if KNOWN_RED_PATH.exists() else ""
    config.stash[KNOWN_RED_KEY] = parse_known_red(text)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    """Report the failure of a listed test as an expected failure."""
    # Formatting a failure calls ast.parse(). If the garbage collector runs a finalizer within it
    # that raises, CPython 3.11 raises SystemError there, which ends the test process.
    gc.disable()
    try:
        report: pytest.TestReport = yield  # type: ignore[assignment]
    finally:
        gc.enable()
    if report.failed and item.nodeid in item.config.stash[KNOWN_RED_KEY]:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    return report  # type: ignore[return-value]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print which listed tests failed, and how, and which passed."""
    listed = terminalreporter.config.stash[KNOWN_RED_KEY]
    for outcome, text in (("xfailed", "failed"), ("passed", "passed; remove it from the list")):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in listed and getattr(report, "when", "call") != "teardown":
                terminalreporter.write_line(f"KNOWN-RED {report.nodeid}: {text}")
                if outcome == "xfailed":
                    terminalreporter.write_line(report.longreprtext)
