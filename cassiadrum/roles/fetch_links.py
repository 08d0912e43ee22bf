"""Links for fetching the rest of an answer, also from sidecars outside the subset."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from cassiadrum.links import Link, LinkDialer

__all__ = ["FetchLinks"]

OPEN_TIMEOUT_S = 3.0


class FetchLinks:
    """The existing link to a sidecar of the subset, or a link that is opened for one fetch.

    `subset_link` returns the current link to an instance, or None. `make_dialer(instance, on_up)`
    returns a dialer that calls `on_up` at each hello, or None for an instance that is not a
    member.
    """

    def __init__(
        self,
        subset_link: Callable[[str], Link | None],
        make_dialer: Callable[[str, Callable[[Link], None]], LinkDialer | None],
    ) -> None:
        self._subset_link = subset_link
        self._make_dialer = make_dialer

    @asynccontextmanager
    async def open(self, instance: str) -> AsyncIterator[Link | None]:
        """Yield a link that has received its hello, or None if the sidecar is unreachable.

        Waits at most OPEN_TIMEOUT_S; a link opened here is closed at the end.
        """
        link = self._subset_link(instance)
        opened: asyncio.Queue[Link] = asyncio.Queue()
        dialer = None if link else self._make_dialer(instance, opened.put_nowait)
        if dialer is None:
            yield link
            return
        dialer.start()
        try:
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    link = await opened.get()
            except TimeoutError:
                link = None
            yield link
        finally:
            await dialer.stop()
