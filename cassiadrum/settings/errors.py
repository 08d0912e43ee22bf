"""Errors of the settings."""

from cassiadrum.errors import CassiadrumError
from cassiadrum.schemas import Finding

__all__ = ["SettingsError"]


class SettingsError(CassiadrumError):
    """Raised for an invalid settings file; `findings` has one entry for each error."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
