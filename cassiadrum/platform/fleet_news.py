"""News that gateways tell each other in their rows of the store's table."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiadrum.platform.member_rows import MemberRow

__all__ = ["FleetNews", "NewsTiming"]


class NewsTiming(NamedTuple):
    """When news should be written, in seconds.

    `interval_s` is the shortest time since the last write of the row, `delay_s` that from now on
    in which other news may come up.
    """

    interval_s: float
    delay_s: float


class FleetNews(ABC):
    """One kind of news in the rows of all gateways.

    Times in rows are milliseconds on the store's clock, whose 0 is at the boot time `zero_s` in
    seconds.
    """

    def __init__(self) -> None:
        # Called when this gateway's row should be written.
        self.on_news: Callable[[NewsTiming], None] = lambda timing: None

    @abstractmethod
    def encode(self, row: MemberRow, zero_s: float) -> None:
        """Put the news of this gateway into its row."""

    @abstractmethod
    def adopt(self, row: MemberRow, zero_s: float, *, registered: bool) -> None:
        """Take over the news of an earlier process of this gateway.

        `registered` tells whether the registration of that process is still valid.
        """

    @abstractmethod
    def apply(self, rows: Iterable[MemberRow], zero_s: float) -> None:
        """Apply the news in rows of gateways that have changed."""

    def is_needed(self, row: MemberRow, now_s: float, zero_s: float) -> bool:
        """Return whether the row of a gateway that is gone still has news at a boot time."""
        return False
