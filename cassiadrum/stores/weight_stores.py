"""Interface of the weight store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator

__all__ = ["WeightStore"]


class WeightStore(ABC):
    """Download weights from a store that limits the rate of bytes."""

    @abstractmethod
    async def size(self, name: str) -> int | None:
        """Return the size in bytes, or None when the name is unknown; raise StoreUnavailable."""

    @abstractmethod
    def download(self, name: str, offset: int = 0) -> AsyncGenerator[bytes, None]:
        """Yield the bytes from `offset`; raise StoreUnavailable when they stop early.

        A caller resumes with the offset of the first byte that it has not got.
        """
