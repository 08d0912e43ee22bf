"""A change of a configuration as an operator submits it."""

from typing import NamedTuple

__all__ = ["ConfigurationChange"]


class ConfigurationChange(NamedTuple):
    """Replace version `base_version` (0 for a new service) by a text, or by a tombstone."""

    service: str
    base_version: int
    operation_id: str
    author: str
    text: str = ""
    deleted: bool = False
