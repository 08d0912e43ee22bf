"""Results of accepting or deleting a configuration."""

from typing import NamedTuple

from cassiadrum.schemas import Finding
from cassiadrum.states.configuration_records import ConfigurationRecord

__all__ = ["AcceptResult", "Accepted", "Conflicted", "Invalid", "NotAccepted", "Unresolved"]


class Accepted(NamedTuple):
    """The configuration is durable as `version`; `current` may already be a later one."""

    version: int
    current: ConfigurationRecord


class Conflicted(NamedTuple):
    """Not accepted: another version is current.

    `difference` is a unified diff from the current text to the one submitted.
    """

    current: ConfigurationRecord
    difference: str


class Invalid(NamedTuple):
    """Not accepted: the document has errors."""

    findings: tuple[Finding, ...]


class NotAccepted(NamedTuple):
    """Not accepted, and certainly not to be applied later; it may be submitted again."""

    reason: str
    retry_after_s: float = 0.0


class Unresolved(NamedTuple):
    """It is not known whether the write was applied; submit again with the operation id."""

    operation_id: str
    reason: str


AcceptResult = Accepted | Conflicted | Invalid | NotAccepted | Unresolved
