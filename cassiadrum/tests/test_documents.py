"""Tests of the parser of service documents."""

from pathlib import Path

import pytest

from cassiadrum.documents import DocumentError, parse_document

EXAMPLES = Path(__file__).parents[2] / "examples"


def example(name: str) -> str:
    return (EXAMPLES / f"{name}.toml").read_text()


class TestExamples:
    """Guards against example documents that the parser no longer accepts."""

    @pytest.mark.parametrize(
        ("name", "endpoints"),
        [
            ("sprachdienst", 6),
            ("auftragsdienst", 3),
            ("drafting-desk", 5),
            ("permit-register", 3),
        ],
    )
    def test_is_accepted(self, name: str, endpoints: int) -> None:
        document = parse_document(example(name))
        assert (document.name, document.endpoints) == (name, endpoints)

    def test_once_only_classes(self) -> None:
        names = ["auftragsdienst", "permit-register"]
        classes = [cls for name in names for cls in parse_document(example(name)).classes]
        assert {cls.name for cls in classes if cls.once_only} == {
            "forging-order",
            "invoice",
            "permit-issue",
        }


class TestErrors:
    """Guards against accepting a document with a misspelled key or contradictory values."""

    def test_unknown_key_names_the_nearest(self) -> None:
        text = example("permit-register").replace("tier = 0", "teir = 0")
        with pytest.raises(DocumentError) as info:
            parse_document(text, "p.toml")
        assert [str(finding) for finding in info.value.findings] == [
            "p.toml: class[0].teir: found an unknown key; allowed: `tier` (nearest known key)",
            "p.toml: class[0].tier: found nothing; allowed: a value; the key is required",
        ]

    def test_protected_class_must_be_above_the_rest(self) -> None:
        text = example("permit-register").replace("tier = 0", "tier = 4")
        with pytest.raises(DocumentError, match="a protected class is above all"):
            parse_document(text)
