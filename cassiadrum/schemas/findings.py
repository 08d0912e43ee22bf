"""Validation error of a settings file or service document."""

from typing import NamedTuple

__all__ = ["Finding"]


class Finding(NamedTuple):
    """File and key path of an error, the value that was found and the values that are allowed."""

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: found {self.found}; allowed: {self.allowed}"
