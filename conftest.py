"""Pytest hooks that let tests listed in KNOWN-RED.txt fail without failing the run."""

import ast
import functools
import gc
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"
KNOWN_RED_KEY = pytest.StashKey[set[str]]()


def without_garbage_collection(function: Callable[..., Any]) -> Callable[..., Any]:
    """Return the function with the garbage collector off while it runs."""

    @functools.wraps(function)
    def run(*args: Any, **kwargs: Any) -> Any:
        enabled = gc.isenabled()
        gc.disable()
        try:
            return function(*args, **kwargs)
        finally:
            if enabled:
                gc.enable()

    return run


# pytest, Hypothesis and Fire parse source code. If the garbage collector runs a finalizer that
# raises within ast.parse(), CPython 3.11 raises SystemError there ("AST constructor recursion
# depth mismatch"). StreamWriter has such a finalizer if its event loop is closed.
ast.parse = without_garbage_collection(ast.parse)


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
    report: pytest.TestReport = yield  # type: ignore[assignment]
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
