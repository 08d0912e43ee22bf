"""Tests that docs/configuration.md agrees with the schemas and the defaults."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

import msgspec
import pytest

from cassiadrum.defaults import DOCUMENT_DEFAULTS, SETTINGS_DEFAULTS
from cassiadrum.documents.schemas import ClassTable, ServiceTable
from cassiadrum.schemas import describe
from cassiadrum.settings.schemas import (
    EndpointTable,
    LimitsTable,
    ListenTable,
    LogTable,
    PlatformTable,
    SettingsTable,
    TlsTable,
)

PAGE = Path(__file__).parents[2] / "docs" / "configuration.md"
SETTINGS = {
    "": SettingsTable,
    "listen": ListenTable,
    "platform": PlatformTable,
    "endpoint": EndpointTable,
    "log": LogTable,
    "limits": LimitsTable,
    "tls": TlsTable,
}
DOCUMENTS = {"service": ServiceTable, "class": ClassTable}


class Row(NamedTuple):
    """Properties of a key that both the page and the schemas state."""

    key: str
    unit: str
    default: str
    allowed: str


def page_rows(section: str) -> list[Row]:
    """Return the table rows in the section with this second-level heading."""
    _, _, rest = PAGE.read_text().partition(f"\n## {section}\n")
    text = rest.partition("\n## ")[0]
    rows = re.findall(r"^\| `([a-z_.]+)` \| (.*?) \| (.*?) \| (.*?) \|", text, re.MULTILINE)
    return [Row(*row) for row in rows]


def schema_rows(tables: dict[str, Any], defaults: dict[str, object]) -> Iterator[Row]:
    for table, schema in tables.items():
        for name, hint in get_type_hints(schema, include_extras=True).items():
            if name in tables:
                continue
            key = f"{table}.{name}" if table else name
            default = expected_default(key, name, name in schema.__required_keys__, defaults)
            allowed = describe(hint)
            yield Row(key, expected_unit(name, allowed), default, allowed)


def expected_default(key: str, name: str, required: bool, defaults: dict[str, object]) -> str:
    if required:
        return "required"
    value = defaults.get(key, defaults.get(name)) if key.startswith("class.") else None
    value = defaults.get(key, value)
    return "none" if value is None else f"`{msgspec.json.encode(value).decode()}`"


def expected_unit(name: str, allowed: str) -> str:
    if name.endswith("_s"):
        return "seconds"
    return "share" if allowed == "number from 0 to 1" else "-"


class TestConfigurationPage:
    """Guards against a page with missing or unknown keys, or with another unit, default or range.

    The page is written by hand, so a change of a schema or a default does not reach it.
    """

    @pytest.mark.parametrize(
        ("section", "tables", "defaults"),
        [
            ("Settings of a daemon", SETTINGS, SETTINGS_DEFAULTS),
            ("Service documents", DOCUMENTS, DOCUMENT_DEFAULTS),
        ],
    )
    def test_rows_are_those_of_the_schemas(
        self, section: str, tables: dict[str, Any], defaults: dict[str, object]
    ) -> None:
        assert page_rows(section) == list(schema_rows(tables, defaults))

    def test_every_default_belongs_to_a_key(self) -> None:
        settings = {row.key for row in schema_rows(SETTINGS, SETTINGS_DEFAULTS)}
        documents = {row.key for row in schema_rows(DOCUMENTS, DOCUMENT_DEFAULTS)}
        assert set(SETTINGS_DEFAULTS) <= settings
        assert {f"class.{name}" for name in DOCUMENT_DEFAULTS} <= documents
