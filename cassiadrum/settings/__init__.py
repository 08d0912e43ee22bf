"""Settings of the daemon, read from one TOML file."""

from cassiadrum.settings.addresses import Address
from cassiadrum.settings.errors import SettingsError
from cassiadrum.settings.loaders import load_settings, parse_settings
from cassiadrum.settings.settings import (
    EndpointSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
)

__all__ = [
    "Address",
    "EndpointSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "SettingsError",
    "TlsSettings",
    "load_settings",
    "parse_settings",
]
