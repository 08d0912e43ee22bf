"""Errors of service documents."""

from cassiadrum.errors import CassiadrumError
from cassiadrum.schemas import Finding

__all__ = ["DocumentError"]


class DocumentError(CassiadrumError):
    """Carry every finding of a document that was not accepted."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
