"""Check of fencing tokens right before an order takes effect."""

from cassiadrum.states.errors import FencingRefused, InvalidRecord
from cassiadrum.states.lease_managers import LEASE_TABLE
from cassiadrum.states.lease_records import LeaseRecord
from cassiadrum.stores import StoreUnavailable, TableStore

__all__ = ["FencingGuard"]


class FencingGuard:
    """Guard that refuses orders whose token is below the highest seen.

    `endpoint_enforces` tells whether the endpoint itself refuses outdated tokens. If not, the
    lease row is read right before each order, whose token must equal the one in the row.
    """

    def __init__(self, store: TableStore, *, endpoint_enforces: bool) -> None:
        self._store = store
        self._endpoint_enforces = endpoint_enforces
        self._highest: dict[str, int] = {}

    def highest(self, lease: str) -> int:
        """Return the highest token seen for a lease, 0 if there was none."""
        return self._highest.get(lease, 0)

    async def admit(self, lease: str, fencing: int) -> None:
        """Return if the order may take effect right now; raise FencingRefused if not."""
        self._reject_stale(lease, fencing)
        if not self._endpoint_enforces:
            await self._compare_with_row(lease, fencing)
            # A newer order may have been admitted while the row was read.
            self._reject_stale(lease, fencing)
        self._highest[lease] = fencing

    async def _compare_with_row(self, lease: str, fencing: int) -> None:
        try:
            row = await self._store.get(LEASE_TABLE, lease)
            current = LeaseRecord.from_value(row.value).fencing if row else 0
        except (StoreUnavailable, InvalidRecord) as exc:
            raise FencingRefused(f"lease {lease} could not be read: {exc}") from exc
        if current != fencing:
            self._highest[lease] = max(current, self.highest(lease))
            raise FencingRefused(
                f"token {fencing} of lease {lease} differs from {current} in the row"
            )

    def _reject_stale(self, lease: str, fencing: int) -> None:
        highest = self.highest(lease)
        if fencing < highest:
            raise FencingRefused(
                f"token {fencing} of lease {lease} is below {highest} seen before"
            )
