"""A configuration change submitted by an operator."""

from typing import NamedTuple

__all__ = ["ConfigurationChange"]


class ConfigurationChange(NamedTuple):
    """Change from version `base_version` (0 for a new service) to a text, or to a tombstone."""

    service: str
    base_version: int
    operation_id: str
    author: str
    text: str = ""
    deleted: bool = False
