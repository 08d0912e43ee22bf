"""Errors of service documents."""

from cassiadrum.errors import CassiadrumError
from cassiadrum.schemas import Finding

__all__ = ["DocumentError"]


class DocumentError(CassiadrumError):
    """Raised for a document that was not accepted; `findings` has one entry for each error."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
