"""Periodic poll that applies configuration versions missed by other means."""

import asyncio
import logging
import random
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.states.configuration_records import ConfigurationRecord
from cassiadrum.states.configuration_registries import ConfigurationRegistry
from cassiadrum.states.configuration_writers import CONFIG_TABLE
from cassiadrum.states.errors import InvalidRecord
from cassiadrum.stores import RowPage, StoreUnavailable, TableStore

__all__ = ["ConfigurationReader", "poll_interval_s"]

logger = logging.getLogger(__name__)

POLL_JITTER = 0.2


def poll_interval_s(processes: int, rng: random.Random) -> float:
    """Return a poll interval in seconds at which `processes` processes keep the fleet's read rate.

    The random jitter only lengthens the interval, so the limit FLEET_CONFIG_READS_PER_S always
    holds.
    """
    min_interval_s = max(LIMITS.CONFIG_POLL_MIN_S, processes / LIMITS.FLEET_CONFIG_READS_PER_S)
    return min_interval_s * rng.uniform(1.0, 1.0 + POLL_JITTER)


class ConfigurationReader:
    """Reader that brings a registry up to date with the table service."""

    def __init__(self, store: TableStore, registry: ConfigurationRegistry) -> None:
        self._store = store
        self._registry = registry
        self._reachable = True

    async def poll(self) -> list[ConfigurationRecord]:
        """List the versions, read the newer records and return those that were applied.

        Raises StoreUnavailable; records applied before the failure stay in force.
        """
        versions: dict[str, int] = {}
        page = RowPage((), "")
        while True:
            page = await self._store.list(CONFIG_TABLE, after=page.next_after, fields=("version",))
            for row in page.rows:
                version = row.value.get("version")
                if isinstance(version, int):
                    versions[row.key] = version
            if not page.next_after:
                break
        applied = [
            await self.fetch(service) for service in self._registry.outdated_services(versions)
        ]
        return [record for record in applied if record is not None]

    async def fetch(self, service: str) -> ConfigurationRecord | None:
        """Read one record and return it if it was applied; raise StoreUnavailable."""
        row = await self._store.get(CONFIG_TABLE, service)
        try:
            record = ConfigurationRecord.from_row(service, row)
            return record if self._registry.apply(record) else None
        except InvalidRecord as exc:
            logger.error("configuration of service %s not applied: %s", service, exc)
            return None

    async def run(
        self,
        processes: Callable[[], int],
        applied: Callable[[ConfigurationRecord], None],
        rng: random.Random,
    ) -> None:
        """Poll until cancelled, calling `applied` for each record put in force.

        `processes` returns the number of processes in the fleet.
        """
        while True:
            try:
                for record in await self.poll():
                    applied(record)
                self._log_reachability(True)
            except StoreUnavailable as exc:
                self._log_reachability(False, str(exc))
            await asyncio.sleep(poll_interval_s(processes(), rng))

    def _log_reachability(self, reachable: bool, reason: str = "") -> None:
        if reachable != self._reachable:
            state = "reachable" if reachable else "unreachable"
            logger.warning("configuration store %s %s", state, reason)
        self._reachable = reachable
