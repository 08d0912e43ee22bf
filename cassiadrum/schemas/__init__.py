"""Checks of TOML tables against typed dictionaries, with every error and its key path."""

from cassiadrum.schemas.descriptions import describe
from cassiadrum.schemas.findings import Finding
from cassiadrum.schemas.tables import check_table

__all__ = ["Finding", "check_table", "describe"]
