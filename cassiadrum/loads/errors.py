"""Errors of the load tool."""

from cassiadrum.errors import CassiadrumError
from cassiadrum.schemas import Finding

__all__ = ["LoadError", "MixError"]


class LoadError(CassiadrumError):
    """Base of the errors of the load tool."""


class MixError(LoadError):
    """A mix file is invalid; `findings` holds every error in it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
