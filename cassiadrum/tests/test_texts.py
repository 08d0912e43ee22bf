"""Snapshots of the texts that operators read."""

import pytest
from syrupy.assertion import SnapshotAssertion

from cassiadrum.documents import (
    DocumentError,
    changed_consequences,
    consequence_lines,
    parse_document,
)
from cassiadrum.settings import SettingsError, parse_settings
from cassiadrum.tests.sites import EXAMPLES, example

ENTRY_SETTINGS = """
role = "entry"
instance = "entry-1"
zone = "muenchen-a"
[platform]
table_service = "10.0.0.1:7001"
instance_list = "10.0.0.1:7002"
"""

SETTINGS_EDITS = {
    "syntax": ("zone =", "zone"),
    "nearest key": ("zone", "zoen"),
    "no near key": ("zone =", 'zone = "a"\nqqqqqq ='),
    "wrong choice": ('"entry"', '"router"'),
    "wrong type": ('"muenchen-a"', "7"),
    "address without a port": ("10.0.0.1:7001", "10.0.0.1"),
    "port out of range": ("7001", "65536"),
    "missing key": ('instance_list = "10.0.0.1:7002"\n', ""),
    "no endpoint": ('"entry"', '"sidecar"'),
    "endpoint of an entry": (
        "[platform]",
        '[endpoint]\nservice = "a"\nkind = "plain"\naddress = "h:1"\n[platform]',
    ),
    "table as a value": ("[platform]", "log = 3\n[platform]"),
    "out of range": ("[platform]", "[limits]\nconcurrency = 0\ndrain_limit_s = 0\n[platform]"),
    "tls without a key": ("[platform]", '[tls]\ncertificate = "c.pem"\n[platform]'),
}

# Replacements in the text of the example document auftragsdienst.
DOCUMENT_EDITS = {
    "syntax": ("tier = 0", "tier ="),
    "missing key": ("tier = 0\n", ""),
    "tier out of range": ("tier = 0", "tier = 5"),
    "unknown method": ('"GET"', '"FETCH"'),
    "name twice": ('"invoice"', '"forging-order"'),
    "idempotent and once only": ("once_only = true", "once_only = true\nidempotent = true"),
    "hedged without idempotent": ("tier = 1", "tier = 1\nhedge_budget = 0.1"),
    "hedged and not cancellable": (
        "tier = 2",
        "tier = 2\ncancellable = false\nhedge_budget = 0.1",
    ),
    "protected below others": ("tier = 0", "tier = 1"),
    "shares above 1": ("min_share = 0.2", "min_share = 0.95"),
    "no share": ("min_share = 0.1", "min_share = 0"),
    "wait at the deadline": ("max_wait_s = 10.0", "max_wait_s = 30.0"),
    "target above the deadline": ("target_total_s = 5.0", "target_total_s = 61"),
    "unreachable": ('"/invoices"', '"/orders/invoices"'),
    "zone twice": ('"landshut-b"', '"muenchen-a"'),
    "models of a plain service": ("endpoints = 3", 'endpoints = 3\nmodels = ["m"]'),
}


class TestErrorTexts:
    """Guards against errors that no longer say what was found, where, and what is allowed.

    Each case makes one mistake in a valid file.
    """

    @pytest.mark.parametrize("case", SETTINGS_EDITS)
    def test_settings(self, case: str, snapshot: SnapshotAssertion) -> None:
        text = ENTRY_SETTINGS.replace(*SETTINGS_EDITS[case])
        with pytest.raises(SettingsError) as info:
            parse_settings(text, "entry.toml")
        assert str(info.value) == snapshot

    @pytest.mark.parametrize("case", DOCUMENT_EDITS)
    def test_documents(self, case: str, snapshot: SnapshotAssertion) -> None:
        text = example("auftragsdienst").replace(*DOCUMENT_EDITS[case])
        with pytest.raises(DocumentError) as info:
            parse_document(text, "auftragsdienst.toml")
        assert str(info.value) == snapshot


class TestAcceptedDocuments:
    """Guards against a release whose stricter checks reject a document that is in force.

    A document was accepted under older checks and is parsed again after the upgrade.
    """

    @pytest.mark.parametrize("case", ["no share", "wait at the deadline", "unreachable"])
    def test_accepted_document_is_not_checked_again(self, case: str) -> None:
        text = example("auftragsdienst").replace(*DOCUMENT_EDITS[case])
        document = parse_document(text, accepted=True)
        assert consequence_lines(document)


class TestConsequences:
    """Guards against consequences of a document that are wrong or missing.

    Operators decide on a change by these lines.
    """

    @pytest.mark.parametrize(
        "name",
        sorted(path.stem for path in EXAMPLES.glob("*.toml") if not path.stem.startswith("load-")),
    )
    def test_check(self, name: str, snapshot: SnapshotAssertion) -> None:
        assert "\n".join(consequence_lines(parse_document(example(name)))) == snapshot

    def test_changes(self, snapshot: SnapshotAssertion) -> None:
        text = example("auftragsdienst")
        old = parse_document(text)
        new = text.replace("endpoints = 3", "endpoints = 4").replace("tier = 1", "tier = 3")
        new = new.replace('"forging-order"', '"forging"')
        changes = changed_consequences(old, parse_document(new))
        assert "\n".join(changes) == snapshot

    def test_deleted_service_removes_every_line(self) -> None:
        document = parse_document(example("auftragsdienst"))
        lines = changed_consequences(document, None)
        assert lines == [f"- {line}" for line in consequence_lines(document)]
