"""Limit on the wait for an endpoint that has fallen silent."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.load_probers import LoadProber

__all__ = ["SilenceLimit"]

RECHECK_S = 0.2


class SilenceLimit:
    """Raise TimeoutError when a wait passes `longest_s`, or `silence_s` of a silent endpoint.

    An endpoint that is busy with other requests keeps sending bytes for them. Leaving it would
    make another endpoint read the prompt again, so such a wait may last longer than one for an
    endpoint that sends nothing at all. Both limits are in seconds; None waits without limit. The
    wait goes on while `may_end` returns false, as when no other endpoint may be asked. With a
    `prober`, an endpoint that is silent here but reports its load is busy as well.

    `longest_s` counts from `since_s`, in seconds of the loop's clock, or else from the beginning
    of the wait. A caller that waits several times for one result states when the first wait began,
    so that bytes which never make up a result do not prolong it.
    """

    def __init__(
        self,
        view: EndpointView,
        silence_s: float | None,
        max_wait_s: float,
        may_expire: Callable[[], bool],
        prober: LoadProber | None = None,
        since_s: float | None = None,
    ) -> None:
        self._view = view
        self._silence_s = silence_s
        self._max_wait_s = max_wait_s
        self._may_expire = may_expire
        self._prober = prober
        self._probe: asyncio.Task[None] | None = None
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None
        self._started_s = 0.0
        self._since_s = since_s
        self._max_wait_end_s = 0.0

    async def __aenter__(self) -> Self:
        await self._timeout.__aenter__()
        if self._silence_s is not None:
            loop = asyncio.get_running_loop()
            self._started_s = loop.time()
            since_s = self._started_s if self._since_s is None else self._since_s
            self._max_wait_end_s = since_s + self._max_wait_s
            due_s = min(self._started_s + self._silence_s, self._max_wait_end_s)
            self._handle = loop.call_at(due_s, self._check)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        if self._probe is not None:
            self._probe.cancel()
        await self._timeout.__aexit__(kind, exc, trace)

    def _check(self) -> None:
        """End the wait if the endpoint was silent for all of the limit, else look again later."""
        assert self._silence_s is not None
        loop = asyncio.get_running_loop()
        now = loop.time()
        due_s = max(self._started_s, self._view.last_received_s) + self._silence_s
        due_s = min(due_s, self._max_wait_end_s)
        if due_s > now:
            self._handle = loop.call_at(due_s, self._check)
        elif not self._may_expire():
            self._handle = loop.call_at(now + RECHECK_S, self._check)
        elif self._prober is not None and now < self._max_wait_end_s:
            self._probe = asyncio.create_task(self._probe_endpoint(self._prober))
        else:
            self._expire()

    async def _probe_endpoint(self, prober: LoadProber) -> None:
        """End the wait unless the endpoint reports its load."""
        if await prober.probe(self._view):
            self._check()
        else:
            self._expire()

    def _expire(self) -> None:
        if not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
