"""Validation of settings and documents that reports every error with its key path."""

from cassiadrum.schemas.descriptions import describe
from cassiadrum.schemas.findings import Finding
from cassiadrum.schemas.structs import check_struct
from cassiadrum.schemas.tables import check_table

__all__ = ["Finding", "check_struct", "check_table", "describe"]
