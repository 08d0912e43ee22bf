"""HTTP calls to the platform's store, with a log line for each one that fails."""

import logging
import time
from enum import Enum
from typing import NamedTuple

from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.platform.errors import AnswerCutOff, AnswerTooLarge
from cassiadrum.platform.headers import Header
from cassiadrum.platform.link_shares import LinkShare
from cassiadrum.platform.store_eras import StoreEra
from cassiadrum.protocols import (
    MIN_PART_BYTES,
    BodyTooLarge,
    ConnectFailed,
    HttpClient,
    HttpError,
    HttpResponse,
    TransferTimeout,
    upload_time_s,
)
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["CONFLICT_STATUS", "GONE_STATUS", "StoreAnswer", "StoreClient"]

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# Unread bytes of an answer beyond which the store is not read from, so that it sends no faster
# than its share of the link.
READ_BUFFER_BYTES = 8 * 1024
# Time within which each part of a body that is larger than a part has to arrive.
PART_TIMEOUT_S = 0.8
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
    """Client of the store's address, with a connection for each concurrent call.

    Large answers are read at a share of the machine's link, whose bandwidth is
    `link_bytes_per_s`, None if it is not known.
    """

    def __init__(self, address: Address, link_bytes_per_s: float | None = None) -> None:
        self._client = HttpClient(
            address.host,
            address.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            read_buffer_bytes=READ_BUFFER_BYTES,
        )
        self._share = LinkShare(link_bytes_per_s)
        self.era = StoreEra()
        # Calls whose answers have begun to arrive.
        self.receiving = 0

    async def exchange(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        limit_bytes: int = MAX_RESPONSE_BYTES,
    ) -> StoreAnswer:
        """Return an answer with one of the expected statuses.

        Raises StoreUnavailable if it does not begin in `timeout_s` seconds, AnswerCutOff if a
        large one does not go on, and AnswerTooLarge if its body has more than `limit_bytes`.
        """
        call = _Call(method, target)
        headers = (("content-type", "application/json"),) if body else ()
        limit_s = timeout_s + upload_time_s(len(body))
        try:
            async with TransferTimeout(limit_s, PART_TIMEOUT_S) as limit:
                response = await self._client.request(method, target, headers, body)
                limit.record_head(response)
                content = await self._read(call, response, limit, limit_bytes)
        except BodyTooLarge as exc:
            raise AnswerTooLarge(str(exc)) from exc
        except ConnectFailed as exc:
            call.phase = CallPhase.CONNECTION
            raise self._fail(call, str(exc)) from exc
        except (HttpError, TimeoutError) as exc:
            raise self._fail(call, str(exc) or "no answer in time") from exc
        self._check_era(response)
        if response.status not in EXPECTED_STATUSES:
            call.phase = CallPhase.STATUS
            call.log_failure(f"status {response.status}")
            raise StoreUnavailable(f"status {response.status}")
        return StoreAnswer(response, content)

    async def _read(
        self, call: "_Call", response: HttpResponse, limit: TransferTimeout, limit_bytes: int
    ) -> bytes:
        call.phase = CallPhase.BODY
        call.stated_bytes = response.body_bytes or 0
        self.receiving += 1

        async def record(size: int) -> None:
            call.body_bytes += size
            await self._share.take(size)
            limit.record_data(size)

        try:
            return await response.read(limit_bytes, record)
        finally:
            self.receiving -= 1

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
        # What arrived just before a reset may be lost, so the stated length counts as well.
        if max(call.body_bytes, call.stated_bytes) > MIN_PART_BYTES:
            return AnswerCutOff(reason)
        return StoreUnavailable(reason)


class _Call:
    """One call and how far it got."""

    def __init__(self, method: str, target: str) -> None:
        self._name = f"{method} {target}"
        self._start_s = time.monotonic()
        self.body_bytes = 0
        # Length of the body by the headers, 0 if they state none or have not arrived.
        self.stated_bytes = 0
        self.phase = CallPhase.HEAD

    def log_failure(self, reason: str) -> None:
        """Log the phase, the bytes of the body and the time; callers pause between failures."""
        logger.info(
            "store call failed",
            extra={
                "call": self._name,
                "phase": self.phase.value,
                "body_bytes": self.body_bytes,
                "after_ms": round((time.monotonic() - self._start_s) * 1000),
                "reason": reason,
                RATE_LIMITED_FIELD: True,
            },
        )
