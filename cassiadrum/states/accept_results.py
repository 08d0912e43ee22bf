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
    """Not accepted: the submitted base version is not the current one.

    `difference` is a unified diff from the current text to the submitted one.
    """

    current: ConfigurationRecord
    difference: str


class Invalid(NamedTuple):
    """Not accepted: the document has errors."""

    findings: tuple[Finding, ...]


class NotAccepted(NamedTuple):
    """Not accepted, and guaranteed not to be applied later; it may be submitted again."""

    reason: str
    retry_after_s: float = 0.0


class Unresolved(NamedTuple):
    """Unknown whether the write was applied; submit again with the same operation id."""

    operation_id: str
    reason: str


AcceptResult = Accepted | Conflicted | Invalid | NotAccepted | Unresolved
