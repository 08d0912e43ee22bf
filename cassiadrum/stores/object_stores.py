"""Interface of the object store."""

from abc import ABC, abstractmethod

from cassiadrum.stores.write_results import WriteResult

__all__ = ["ObjectStore"]


class ObjectStore(ABC):
    """Store objects by key; a put replaces the object, so it is idempotent."""

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if there is none; raise StoreUnavailable."""

    @abstractmethod
    async def put(self, key: str, data: bytes) -> WriteResult:
        """Write an object."""

    @abstractmethod
    async def delete(self, key: str) -> WriteResult:
        """Delete an object; Done also if there is none."""
