"""Base class of rules."""

from abc import ABC, abstractmethod
from typing import ClassVar

from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.violations import Violation

__all__ = ["Rule"]


class Rule(ABC):
    """Check of one invariant of the design page against a fleet record."""

    name: ClassVar[str]

    @abstractmethod
    def check(self, record: FleetRecord) -> list[Violation]:
        """Return all violations, or an empty list if the invariant holds."""
