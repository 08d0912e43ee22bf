"""Interface of the weight store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator

__all__ = ["WeightStore"]


class WeightStore(ABC):
    """Store of model weights that limits the byte rate."""

    @abstractmethod
    async def size(self, name: str) -> int | None:
        """Return the size in bytes, or None if the name is unknown; raise StoreUnavailable."""

    @abstractmethod
    def download(self, name: str, offset: int = 0) -> AsyncGenerator[bytes, None]:
        """Yield the bytes from `offset`; raise StoreUnavailable if the download is cut off.

        A caller resumes at the offset of the first byte it has not received.
        """
