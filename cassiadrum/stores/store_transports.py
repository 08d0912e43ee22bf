"""HTTP requests to a store, with a deadline, a rate budget and a circuit breaker."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar
from urllib.parse import quote

from cassiadrum.defaults import LIMITS
from cassiadrum.protocols import (
    ConnectFailed,
    Headers,
    HttpClient,
    HttpError,
    HttpResponse,
    TransferTimeout,
    upload_time_s,
)
from cassiadrum.stores.circuit_breakers import CircuitBreaker
from cassiadrum.stores.errors import NotApplied, OutcomeLost, StoreError, StoreUnavailable
from cassiadrum.stores.store_budgets import StoreBudget
from cassiadrum.stores.write_results import Refused, Unknown

__all__ = ["StoreResponse", "StoreTransport", "quote_segment"]

T = TypeVar("T")


class StoreResponse(NamedTuple):
    """An answer of the store; the status is below 500 and not 429."""

    status: int
    headers: Headers
    body: bytes


class StoreTransport:
    """Transport of requests to one store; `clock` returns monotonic seconds.

    `on_result` gets the result of each read and write: `answered`, `not_applied` or `unknown`.
    """

    def __init__(
        self,
        client: HttpClient,
        clock: Callable[[], float],
        *,
        budget: StoreBudget | None = None,
        breaker: CircuitBreaker | None = None,
        timeout_s: float = LIMITS.STORE_TIMEOUT_S,
        on_result: Callable[[str], None] = lambda result: None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._budget = budget
        self.breaker = breaker or CircuitBreaker()
        self._timeout_s = timeout_s
        self._on_result = on_result

    async def read(self, target: str, headers: Headers = ()) -> StoreResponse:
        """Send a GET request; raise StoreUnavailable if there is no valid answer."""
        try:
            return await self._send("GET", target, headers, b"")
        except StoreError as exc:
            raise StoreUnavailable(str(exc)) from exc

    async def write(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> StoreResponse | Refused | Unknown:
        """Send a write; return its answer, or Refused or Unknown without one."""
        try:
            answer = await self._send(method, target, headers, body)
        except NotApplied as exc:
            return Refused(exc.reason, exc.retry_after_s)
        except OutcomeLost as exc:
            return Unknown(str(exc))
        return answer

    async def open(self, target: str) -> HttpResponse:
        """Send a GET request and return its response once the headers have arrived.

        Raises StoreUnavailable. The caller reads the body with its own timeout.
        """
        try:
            return await self._guarded("GET", lambda _: self._client.request("GET", target))
        except StoreError as exc:
            raise StoreUnavailable(str(exc)) from exc

    async def _send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> StoreResponse:
        async def exchange(limit: TransferTimeout) -> StoreResponse:
            response = await self._client.request(method, target, headers, body)
            return StoreResponse(response.status, response.headers, await limit.read(response))

        try:
            answer = self._check_status(await self._guarded(method, exchange, len(body)))
        except StoreError as exc:
            self._on_result("unknown" if isinstance(exc, OutcomeLost) else "not_applied")
            raise
        self._on_result("answered")
        return answer

    async def _guarded(
        self, method: str, send: Callable[[TransferTimeout], Awaitable[T]], body_bytes: int = 0
    ) -> T:
        """Run `send` subject to rate budget, circuit breaker and deadline."""
        wait_s = await self._wait_for_budget(method)
        if not self.breaker.allow(self._clock()):
            raise NotApplied("circuit breaker is open")
        try:
            # After a stall the loop has much to catch up with, and a write without an answer has
            # an unknown outcome, so its limit may be extended by as much again.
            limit_s = self._timeout_s - wait_s + upload_time_s(body_bytes)
            async with TransferTimeout(limit_s, self._timeout_s, self._timeout_s) as limit:
                return await send(limit)
        except ConnectFailed as exc:
            self.breaker.record_failure(self._clock())
            raise NotApplied(str(exc)) from exc
        except (HttpError, TimeoutError) as exc:
            self.breaker.record_failure(self._clock())
            raise OutcomeLost(str(exc) or f"no answer in {self._timeout_s:g} s") from exc

    async def _wait_for_budget(self, method: str) -> float:
        """Wait until the rate budget permits a request; return the planned wait in seconds.

        The deadline counts this wait, but not a stall of the event loop beside it, after which no
        time would be left for a request that was not sent yet.
        """
        if self._budget is None:
            return 0.0
        bucket = self._budget.reads if method == "GET" else self._budget.writes
        wait_s = bucket.reserve(self._clock(), self._timeout_s / 2)
        if wait_s is None:
            raise NotApplied("rate budget of this process is exhausted", 1.0)
        await asyncio.sleep(wait_s)
        return wait_s

    def _check_status(self, answer: StoreResponse) -> StoreResponse:
        """Return an answer, or raise if its status says that the request was not served.

        By the protocol, 429 and 503 mean that nothing was applied; any other status of 500 or
        above leaves the outcome unknown.
        """
        if answer.status == 429:
            self.breaker.record_success()
            raise NotApplied("rate limited by the store", _retry_after_s(answer.headers))
        if answer.status >= 500:
            self.breaker.record_failure(self._clock())
            if answer.status == 503:
                raise NotApplied("the store is unavailable", _retry_after_s(answer.headers))
            raise OutcomeLost(f"status {answer.status}")
        self.breaker.record_success()
        return answer


def quote_segment(text: str) -> str:
    """Return a path segment or query value with all reserved characters escaped."""
    return quote(text, safe="")


def _retry_after_s(headers: Headers) -> float:
    value = next((value for name, value in headers if name == "retry-after"), "0")
    try:
        return float(value)
    except ValueError:
        return 0.0
