"""Tests that docs/OPERATIONS.md states what the code does."""

import re
from pathlib import Path

from cassiadrum.cli import parse
from cassiadrum.commands import ExitCode
from cassiadrum.frontends.problems import STATUS_AND_TITLE_BY_REASON
from cassiadrum.metrics.metric_definitions import DEFINITIONS, GATEWAY_DEFINITIONS

TEXT = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text()
COMMANDS = (
    ("service", "check", "f"),
    ("service", "apply", "f"),
    ("service", "show", "n"),
    ("service", "diff", "n", "f"),
    ("service", "versions", "n"),
    ("service", "delete", "n"),
    ("settings", "check", "f"),
    ("status",),
    ("timeline",),
    ("explain", "r"),
    ("log", "f"),
    ("drain", "i"),
    ("request", "t"),
)


class TestOperationsPage:
    """Guards against refusals, exit codes, metrics and commands missing from the page.

    Each of them is defined in the code, and the page is easily forgotten in a change.
    """

    def test_refusals(self) -> None:
        rows = re.findall(r"^\| `([a-z_]+)` \| (\d{3}) \|", TEXT, re.MULTILINE)
        assert rows == [
            (reason, str(status)) for reason, (status, _) in STATUS_AND_TITLE_BY_REASON.items()
        ]

    def test_exit_codes(self) -> None:
        rows = re.findall(r"^\| (\d) \| `([A-Z_]+)` \|", TEXT, re.MULTILINE)
        assert rows == [(str(code.value), code.name) for code in ExitCode]

    def test_metrics(self) -> None:
        rows = re.findall(r"^\| `(cassiadrum_\w+)` \| (\w+) \| ?(.*?) ?\|$", TEXT, re.MULTILINE)
        assert rows == [
            (item.name, item.kind, ", ".join(item.labels))
            for item in (*DEFINITIONS.values(), *GATEWAY_DEFINITIONS.values())
        ]

    def test_commands(self) -> None:
        section = TEXT.partition("## The operators' tool")[2].partition("###")[0]
        for arguments in COMMANDS:
            assert parse(arguments).action is not None
            name = " ".join(word for word in arguments if len(word) > 1)
            assert f"| `{name}" in section
