"""Interface of the instance list."""

from abc import ABC, abstractmethod

from cassiadrum.stores.instances import Instance
from cassiadrum.stores.write_results import WriteResult

__all__ = ["InstanceList"]


class InstanceList(ABC):
    """The platform's list of instances, which may be outdated and whose entries can be changed."""

    @abstractmethod
    async def fetch(self) -> tuple[Instance, ...]:
        """Return the listed instances; raise StoreUnavailable."""

    @abstractmethod
    async def register(self, instance: Instance) -> WriteResult:
        """Add or replace an entry; the call is idempotent."""

    @abstractmethod
    async def deregister(self, instance: str) -> WriteResult:
        """Remove an entry; the call is idempotent."""

    @abstractmethod
    async def mark_leaving(self, instance: str) -> WriteResult:
        """Set the state of an entry to `leaving`; the call is idempotent."""
