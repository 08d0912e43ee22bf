"""One error in a TOML file."""

from typing import NamedTuple

__all__ = ["Finding"]


class Finding(NamedTuple):
    """Name the file and key path of an error, what was found and what is allowed."""

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: found {self.found}; allowed: {self.allowed}"
