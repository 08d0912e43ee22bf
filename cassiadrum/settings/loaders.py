"""Loading and validation of the settings file."""

import tomllib
from pathlib import Path
from typing import Any

from cassiadrum.defaults import SETTINGS_DEFAULTS
from cassiadrum.schemas import Finding, check_table
from cassiadrum.settings.addresses import Address
from cassiadrum.settings.errors import SettingsError
from cassiadrum.settings.schemas import (
    EndpointTable,
    LimitsTable,
    ListenTable,
    LogTable,
    PlatformTable,
    SettingsTable,
    TlsTable,
)
from cassiadrum.settings.settings import (
    EndpointSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
)

__all__ = ["load_settings", "parse_settings"]

_TABLE_SCHEMAS = {
    "listen": ListenTable,
    "platform": PlatformTable,
    "endpoint": EndpointTable,
    "log": LogTable,
    "limits": LimitsTable,
    "tls": TlsTable,
}


def load_settings(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsError with one finding for each error."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([Finding(str(path), "(file)", str(exc), "a readable file")]) from exc
    return parse_settings(text, str(path))


def parse_settings(text: str, file: str = "settings") -> Settings:
    """Return the settings in `text`; raise SettingsError with one finding for each error."""
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise SettingsError([Finding(file, "(syntax)", str(exc), "TOML 1.0")]) from exc
    findings = check_table(raw, SettingsTable, file, "")
    for name, schema in _TABLE_SCHEMAS.items():
        if isinstance(raw.get(name), dict):
            findings += check_table(raw[name], schema, file, name)
    if raw.get("role") == "sidecar" and "endpoint" not in raw:
        findings.append(Finding(file, "endpoint", "nothing", "a table; a sidecar requires it"))
    if raw.get("role") == "entry" and "endpoint" in raw:
        findings.append(Finding(file, "endpoint", "a table", "nothing for the role `entry`"))
    if findings:
        raise SettingsError(findings)
    return _build(raw)


def _build(raw: dict[str, Any]) -> Settings:
    def value(path: str) -> Any:
        table, _, key = path.rpartition(".")
        source = raw.get(table, {}) if table else raw
        return source.get(key, SETTINGS_DEFAULTS[path])

    platform = raw["platform"]
    return Settings(
        role=raw["role"],
        instance=raw["instance"],
        zone=raw["zone"],
        region=value("region"),
        listen=ListenSettings(
            *(Address.parse(value(f"listen.{key}")) for key in ListenSettings._fields)
        ),
        platform=PlatformSettings(
            *(_optional_address(platform, key) for key in PlatformSettings._fields)
        ),
        endpoint=_build_endpoint(raw.get("endpoint")),
        log=LogSettings(value("log.format"), value("log.level")),
        limits=LimitSettings(*(value(f"limits.{key}") for key in LimitSettings._fields)),
        tls=TlsSettings(**raw.get("tls", {"certificate": "", "key": "", "ca": ""})),
        admin_token_file=raw.get("admin_token_file", ""),
    )


def _optional_address(table: dict[str, Any], key: str) -> Any:
    return Address.parse(table[key]) if key in table else None


def _build_endpoint(table: dict[str, Any] | None) -> EndpointSettings | None:
    if table is None:
        return None
    return EndpointSettings(
        table["service"],
        table["kind"],
        Address.parse(table["address"]),
        table.get("enforces_fencing", SETTINGS_DEFAULTS["endpoint.enforces_fencing"]),
    )
