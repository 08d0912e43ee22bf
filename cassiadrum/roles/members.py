"""The links of an entry instance to the sidecars of the instance list."""

import asyncio
import logging
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.links import LinkDialer
from cassiadrum.stores import Instance, InstanceList, StoreUnavailable

__all__ = ["MemberLinks"]

logger = logging.getLogger(__name__)


class MemberLinks:
    """Poll the instance list and keep a link to each sidecar."""

    def __init__(
        self, instances: InstanceList, make_dialer: Callable[[Instance], LinkDialer]
    ) -> None:
        self.members: dict[str, Instance] = {}
        self._instances = instances
        self._make_dialer = make_dialer
        self._dialers: dict[str, LinkDialer] = {}

    def service(self, instance: str) -> str:
        """Return the service of a sidecar, empty when unknown."""
        member = self.members.get(instance)
        return member.service if member else ""

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            try:
                self._take(await self._instances.fetch())
            except StoreUnavailable as exc:
                logger.debug("instance list: %s", exc)
            await asyncio.sleep(LIMITS.INSTANCE_POLL_S)

    def _take(self, listed: tuple[Instance, ...]) -> None:
        for member in listed:
            if member.role != "sidecar" or member.instance in self._dialers:
                continue
            self.members[member.instance] = member
            dialer = self._make_dialer(member)
            self._dialers[member.instance] = dialer
            dialer.start()

    async def close(self) -> None:
        """Close every link."""
        await asyncio.gather(*(dialer.stop() for dialer in self._dialers.values()))
