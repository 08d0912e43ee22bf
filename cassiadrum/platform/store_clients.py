"""HTTP calls to the platform's store, with a log line for each one that fails."""

import logging
import time
from enum import Enum
from typing import NamedTuple

from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.platform.errors import AnswerTooLarge
from cassiadrum.platform.headers import Header
from cassiadrum.platform.store_eras import StoreEra
from cassiadrum.protocols import (
    BodyTooLarge,
    CallTimeout,
    ConnectFailed,
    HttpClient,
    HttpError,
    HttpResponse,
)
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["CONFLICT_STATUS", "GONE_STATUS", "StoreAnswer", "StoreClient"]

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# Bounds the memory and the time for decoding an answer; a page of rows has at most 1 MB.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
OK_STATUS = 200
GONE_STATUS = 410
CONFLICT_STATUS = 412
EXPECTED_STATUSES = frozenset({OK_STATUS, GONE_STATUS, CONFLICT_STATUS})


class StoreAnswer(NamedTuple):
    """The status, the headers and the whole body of an answer."""

    response: HttpResponse
    body: bytes


class CallPhase(Enum):
    """What a call that failed was waiting for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    # The answer arrived, and its status says that the store did not serve the call.
    STATUS = "status"


class StoreClient:
    """Client of the store's address, with a connection for each concurrent call."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address.host, address.port, connect_timeout_s=CONNECT_TIMEOUT_S)
        self.era = StoreEra()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> StoreAnswer:
        """Return an answer with one of the expected statuses.

        Raises StoreUnavailable if there is none in `timeout_s` seconds, and AnswerTooLarge.
        """
        call = _Call(method, target)
        headers = (("content-type", "application/json"),) if body else ()
        try:
            async with CallTimeout(timeout_s):
                response = await self._client.request(method, target, headers, body)
                answer = StoreAnswer(response, await call.read(response))
        except BodyTooLarge as exc:
            self._fail(call, str(exc))
            raise AnswerTooLarge(str(exc)) from exc
        except ConnectFailed as exc:
            call.phase = CallPhase.CONNECTION
            raise self._fail(call, str(exc)) from exc
        except (HttpError, TimeoutError) as exc:
            raise self._fail(call, str(exc) or f"no answer in {timeout_s:g} s") from exc
        self._check_era(response)
        if response.status not in EXPECTED_STATUSES:
            call.phase = CallPhase.STATUS
            call.log_failure(f"status {response.status}")
            raise StoreUnavailable(f"status {response.status}")
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def _check_era(self, response: HttpResponse) -> None:
        """Observe the era in an answer; raise StoreUnavailable if it may be an older one."""
        if not self.era.observe(response.header(Header.STORE_ERA)):
            # Further answers on this connection may be as old.
            self._client.close()
            raise StoreUnavailable("the answer may predate a restore of the store")

    def _fail(self, call: "_Call", reason: str) -> StoreUnavailable:
        """Log a failed call and close the other connections, which may be broken as well."""
        self._client.close()
        call.log_failure(reason)
        return StoreUnavailable(reason)


class _Call:
    """One call and how far it got."""

    def __init__(self, method: str, target: str) -> None:
        self._name = f"{method} {target}"
        self._start_s = time.monotonic()
        self._bytes = 0
        self.phase = CallPhase.HEAD

    async def read(self, response: HttpResponse) -> bytes:
        """Return the body; raise BodyTooLarge above MAX_RESPONSE_BYTES."""
        self.phase = CallPhase.BODY
        parts: list[bytes] = []
        try:
            async for part in response.body:
                parts.append(part)
                self._bytes += len(part)
                if self._bytes > MAX_RESPONSE_BYTES:
                    raise BodyTooLarge(MAX_RESPONSE_BYTES)
        finally:
            await response.body.aclose()
        return b"".join(parts)

    def log_failure(self, reason: str) -> None:
        """Log the phase, the bytes of the body and the time; callers pause between failures."""
        logger.info(
            "store call failed",
            extra={
                "call": self._name,
                "phase": self.phase.value,
                "body_bytes": self._bytes,
                "after_ms": round((time.monotonic() - self._start_s) * 1000),
                "reason": reason,
                RATE_LIMITED_FIELD: True,
            },
        )
