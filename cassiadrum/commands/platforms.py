"""Addresses of the platform services."""

import os
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from cassiadrum.commands.arguments import parse_address
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.protocols import HttpClient
from cassiadrum.settings import Address
from cassiadrum.stores import HttpInstanceList, HttpTableStore, StoreTransport

__all__ = ["PLATFORM_VARIABLE", "Platform"]

PLATFORM_VARIABLE: Final = "CASSIADRUM_PLATFORM"
PLATFORM_FORMAT: Final = "TABLE_SERVICE,INSTANCE_LIST as HOST:PORT,HOST:PORT, or a TOML file"


class Platform(NamedTuple):
    """Addresses of the table service and of the instance list."""

    table_service: Address
    instance_list: Address

    @classmethod
    def resolve(cls, option: str, environment: Mapping[str, str] = os.environ) -> "Platform":
        """Return the platform from the option or else from the environment variable.

        A TOML file needs a table `[platform]`, so a daemon's settings file can be given. Raises
        CommandError if there is no platform or it is invalid.
        """
        text = option or environment.get(PLATFORM_VARIABLE, "")
        if not text:
            detail = f"no platform; use --platform or set {PLATFORM_VARIABLE}: {PLATFORM_FORMAT}"
            raise CommandError(ExitCode.BAD_INPUT, detail)
        if text.endswith(".toml"):
            return cls(*_read_addresses(Path(text)))
        parts = text.split(",")
        if len(parts) != len(cls._fields):
            detail = f"platform: found {text!r}; allowed: {PLATFORM_FORMAT}"
            raise CommandError(ExitCode.BAD_INPUT, detail)
        return cls(*(parse_address(part, "platform") for part in parts))

    def table(self) -> HttpTableStore:
        """Return a client of the table service."""
        return HttpTableStore(_store_transport(self.table_service))

    def instances(self) -> HttpInstanceList:
        """Return a client of the instance list."""
        return HttpInstanceList(_store_transport(self.instance_list))


def _read_addresses(path: Path) -> list[Address]:
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise CommandError(ExitCode.BAD_INPUT, f"{path}: {exc}") from exc
    table = raw.get("platform")
    if not isinstance(table, dict):
        detail = f"{path}: platform: found nothing; allowed: a table"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    return [parse_address(table.get(key), f"{path}: platform.{key}") for key in Platform._fields]


def _store_transport(address: Address) -> StoreTransport:
    return StoreTransport(HttpClient(address.host, address.port), time.monotonic)
