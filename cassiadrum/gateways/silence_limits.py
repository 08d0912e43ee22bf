"""Time limit on the wait for an endpoint that sends no bytes."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.request_retries import RequestRetries

__all__ = ["SilenceLimit"]

RECHECK_S = 0.2
# Delay of a check after which this process itself stood still, frozen or without a processor.
STALL_S = 0.1


class SilenceLimit:
    """A context that ends after `max_wait_s`, or `silence_s` without bytes, by TimeoutError.

    An endpoint that is busy with other requests keeps sending bytes for them. Moving the request
    would repeat its prefill at another endpoint, so the wait for a busy endpoint may last longer
    than that for a silent one. Both limits are in seconds; if `silence_s` is None, the wait is
    unlimited. The wait continues while `may_expire` returns false, for example if no other
    endpoint can be tried. With a `prober`, an endpoint that sends nothing but answers a load probe
    counts as busy. With `retries`, the wait ends only once a retry at another endpoint is
    reserved. If this process stood still, the wait begins anew, once.

    `max_wait_s` counts from `since_s`, in seconds of the loop's clock, or else from the start of
    the wait. A caller that waits several times for one result passes the start of the first wait,
    so that bytes that never complete a result do not extend it.
    """

    def __init__(
        self,
        view: EndpointView,
        silence_s: float | None,
        max_wait_s: float,
        may_expire: Callable[[], bool],
        prober: LoadProber | None = None,
        since_s: float | None = None,
        retries: RequestRetries | None = None,
    ) -> None:
        self._view = view
        self._silence_s = silence_s
        self._max_wait_s = max_wait_s
        self._may_expire = may_expire
        self._prober = prober
        self._probe: asyncio.Task[None] | None = None
        # Time of a load probe that was not answered.
        self._probe_failed_s = float("-inf")
        self._retries = retries
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None
        # Time for which the next check is planned.
        self._check_s = 0.0
        self._began_anew = False
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
            self._check_at(min(self._started_s + self._silence_s, self._max_wait_end_s))
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
        # Raises TimeoutError if the wait has expired: the next attempt takes the reserved retry.
        await self._timeout.__aexit__(kind, exc, trace)
        self._release_retry()

    def _check(self) -> None:
        """Expire the wait if the endpoint was silent for the limit, else check again later."""
        assert self._silence_s is not None
        now = asyncio.get_running_loop().time()
        if now > self._check_s + STALL_S and not self._began_anew:
            # Not repeated: on a machine that is always late, the wait would never end.
            self._began_anew = True
            self._started_s = now
            self._max_wait_end_s += now - self._check_s
        due_s = max(self._started_s, self._view.last_received_s) + self._silence_s
        due_s = min(due_s, self._max_wait_end_s)
        if due_s > now:
            self._release_retry()
            self._check_at(due_s)
        elif not self._may_expire() or self._awaits_probe(now):
            self._release_retry()
            self._check_at(now + RECHECK_S)
        elif self._prober is not None and self._needs_probe(now):
            self._probe = asyncio.create_task(self._probe_endpoint(self._prober))
        elif self._retries is None or self._retries.try_reserve():
            self._expire()
        else:
            # The endpoint may go on while the request waits for a place at another one.
            self._check_at(now + RECHECK_S)

    def _check_at(self, due_s: float) -> None:
        self._check_s = due_s
        self._handle = asyncio.get_running_loop().call_at(due_s, self._check)

    def _awaits_probe(self, now: float) -> bool:
        """Return whether the endpoint's request limit does not permit the load probe yet."""
        if self._prober is None or not self._needs_probe(now):
            return False
        return self._view.request_limit.wait_s(now) > 0.0

    def _needs_probe(self, now: float) -> bool:
        """Return whether the endpoint is probed before the wait ends."""
        if now >= self._max_wait_end_s:
            return False
        return self._probe_failed_s <= max(self._started_s, self._view.last_received_s)

    async def _probe_endpoint(self, prober: LoadProber) -> None:
        """Probe the endpoint's load, then decide whether the wait ends."""
        answered = await prober.probe(self._view)
        now = self._check_s = asyncio.get_running_loop().time()
        if not answered:
            self._probe_failed_s = now
        self._check()

    def _expire(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def _release_retry(self) -> None:
        if self._retries is not None:
            self._retries.release()
