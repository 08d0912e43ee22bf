"""Base class of the rules."""

from abc import ABC, abstractmethod
from typing import ClassVar

from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.violations import Violation

__all__ = ["Rule"]


class Rule(ABC):
    """Check one invariant of the design page over a record."""

    name: ClassVar[str]

    @abstractmethod
    def check(self, record: FleetRecord) -> list[Violation]:
        """Return every violation, an empty list when the invariant holds."""
