"""Links to sidecars outside the subset, for callers that fetch the rest of an answer."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from cassiadrum.links import Link, LinkDialer

__all__ = ["FetchLinks"]

OPEN_TIMEOUT_S = 3.0


class FetchLinks:
    """Give the link of the subset to a sidecar, or a link of its own for one fetch.

    `dialer(instance, on_up)` builds a dialer that calls `on_up` at each hello, and returns None
    for an instance that is not a member.
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
        """Yield a link that said hello; None when the sidecar cannot be reached."""
        link = self._subset_link(instance)
        up: asyncio.Queue[Link] = asyncio.Queue()
        dialer = None if link else self._make_dialer(instance, up.put_nowait)
        if dialer is None:
            yield link
            return
        dialer.start()
        try:
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    link = await up.get()
            except TimeoutError:
                link = None
            yield link
        finally:
            await dialer.stop()
