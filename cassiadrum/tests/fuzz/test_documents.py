"""Tests of the parsers of service documents and settings with generated text."""

import tomllib
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cassiadrum.documents import DocumentError, parse_document
from cassiadrum.settings import SettingsError, parse_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID_DOCUMENT = (EXAMPLES / "permit-register.toml").read_text()
VALID_SETTINGS = (
    'role = "sidecar"\ninstance = "a"\nzone = "z"\n[platform]\ntable_service = "127.0.0.1:1"\n'
    'instance_list = "127.0.0.1:2"\n[endpoint]\nservice = "s"\nkind = "plain"\n'
    'address = "127.0.0.1:3"\n[limits]\nconcurrency = 4\ndrain_limit_s = 10.0\n'
)
EDGE_CASE_VALUES = st.sampled_from(
    [
        "-1",
        "0",
        "1e400",
        "nan",
        "-inf",
        "99999999999999999999",
        '""',
        '"x"',
        "[]",
        "[[]]",
        "{}",
        "true",
        "1979-05-27",
        '"[::1]:5"',
        '":0"',
        '"a:99999"',
        "[" * 2000 + "]" * 2000,
    ]
)
DEEPLY_NESTED_TEXTS = ("x = " + "[" * 5000, "x = " + "{a=" * 5000, "[" + "a." * 5000 + "a]")


@st.composite
def mutated_text(draw: st.DrawFn, text: str) -> str:
    """Return the text with one to three values or lines replaced."""
    lines = text.splitlines()
    for _ in range(draw(st.integers(1, 3))):
        index = draw(st.integers(0, len(lines) - 1))
        key, separator, _ = lines[index].partition(" = ")
        if separator:
            lines[index] = f"{key} = {draw(EDGE_CASE_VALUES)}"
        else:
            lines[index] = draw(st.text(max_size=30))
    return "\n".join(lines)


class TestDocuments:
    """Guards against a document or settings file that ends a process with an unexpected exception.

    Operators write these files by hand. Any text has to be either parsed or rejected with
    findings, also if it nests so deeply that the TOML parser reaches the recursion limit.
    """

    @pytest.mark.parametrize("text", DEEPLY_NESTED_TEXTS, ids=["arrays", "tables", "keys"])
    def test_deep_nesting_is_rejected(self, text: str) -> None:
        with pytest.raises(DocumentError):
            parse_document(text)
        with pytest.raises(SettingsError):
            parse_settings(text)

    @given(st.one_of(st.text(), mutated_text(VALID_DOCUMENT)))
    @example(VALID_DOCUMENT)
    def test_document_is_parsed_or_rejected_with_findings(self, text: str) -> None:
        try:
            document = parse_document(text)
        except DocumentError as exc:
            assert exc.findings
            return
        assert document.name == tomllib.loads(text)["service"]["name"]

    @given(st.one_of(st.text(), mutated_text(VALID_SETTINGS)))
    @example(VALID_SETTINGS)
    def test_settings_are_parsed_or_rejected_with_findings(self, text: str) -> None:
        try:
            settings = parse_settings(text)
        except SettingsError as exc:
            assert exc.findings
            return
        assert 0 <= settings.platform.table_service.port <= 65535
