"""One connection of a caller to the HTTP server."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable

import h11

from cassiadrum.protocols.errors import BadMessage
from cassiadrum.protocols.exchanges import Exchange, Handler
from cassiadrum.protocols.http_requests import HttpRequest
from cassiadrum.protocols.memory_budgets import MemoryBudget
from cassiadrum.protocols.notifying_readers import NotifyingReader, receive_pending
from cassiadrum.protocols.request_readers import ReadLimits, RequestReader
from cassiadrum.protocols.time_slices import MAX_PARSE_BYTES
from cassiadrum.protocols.unanswered_connections import UnansweredConnections, UnansweredReason

__all__ = ["ServerConnection"]

logger = logging.getLogger(__name__)

# The connection does not count towards the limit any more while its refusal is sent.
REFUSAL_TIMEOUT_S = 1.0
DISCARD_TIMEOUT_S = 1.0
# Size that h11 keeps of an incomplete head at most. It is fixed for a connection; RequestReader
# checks the limit in force, which a new configuration may raise.
MAX_HEAD_BYTES = 16 * 1024 * 1024
PROBLEM_TYPE = "application/problem+json"
REASON_BY_STATUS = {413: "too_large", 431: "too_large", 503: "overloaded"}


class ServerConnection:
    """Connection that reads requests and calls the handler for each, one after the other.

    `limits()` returns the limits of a request whose reading begins. Once `should_close()` returns
    true, the connection ends with the answer to the last request that has arrived, and once
    `is_closing()` does, only a request that has begun to arrive is read.
    """

    def __init__(
        self,
        reader: NotifyingReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: Callable[[], ReadLimits],
        body_budget: MemoryBudget,
        should_close: Callable[[], bool],
        is_closing: Callable[[], bool],
        unanswered: UnansweredConnections,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._should_close = should_close
        self._is_closing = is_closing
        self._unanswered = unanswered
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request_reader = RequestReader(self._conn, reader, writer, body_budget, limits)
        # The request that is being handled.
        self._exchange: Exchange | None = None
        self._task = asyncio.current_task()
        # Why the server cancelled the connection.
        self._cancel_reason: UnansweredReason | None = None
        # Whether a request that has begun to arrive is refused when the connection is cancelled.
        self._refuses_begun = False
        # Whether the last request was refused before it had been read.
        self._refused = False

    @property
    def serving(self) -> bool:
        """Return whether a request is being handled."""
        return self._exchange is not None

    @property
    def request_started(self) -> bool:
        """Return whether any byte of a request that is not answered yet has arrived."""
        return self._request_reader.request_started

    @property
    def idle(self) -> bool:
        """Return whether no byte of the next request has arrived."""
        return self._request_reader.idle

    @property
    def waiting_for_data(self) -> bool:
        """Return whether the caller's next bytes are awaited, also those of a refused request."""
        return self._refused or self._request_reader.waiting_for_data

    def extend_idle_wait(self, idle_timeout_s: float) -> None:
        """Let the current wait for a request last for at least `idle_timeout_s`."""
        self._request_reader.extend_idle_wait(idle_timeout_s)

    def end_wait(self, reason: UnansweredReason) -> None:
        """End the connection, which waits for data.

        A request that has begun to arrive when the wait has ended is refused as not run: its bytes
        may be received in the iteration of the event loop that cancels the wait.
        """
        self._refuses_begun = True
        self.cancel(reason)

    def cancel(self, reason: UnansweredReason) -> None:
        """Abort the connection."""
        assert self._task is not None
        self._cancel_reason = reason
        self._task.cancel()

    async def refuse(self, reason: UnansweredReason) -> None:
        """Close a new connection; a request that has begun to arrive is refused as not run."""
        if self.request_started:
            await self._refuse_unread(reason)
            self._writer.close()
        else:
            self._abort(reason)

    async def serve(self) -> None:
        """Answer requests until the connection ends, and close it."""
        keep_alive = True
        try:
            while keep_alive and await self._may_read():
                try:
                    keep_alive = await self._serve_one()
                finally:
                    self._request_reader.release_body()
        except asyncio.CancelledError:
            await self._end_cancelled(self._cancel_reason or UnansweredReason.HANDLER_ABORTED)
        except OSError:
            self._abort(UnansweredReason.CALLER_LEFT)
        except Exception:
            logger.exception("HTTP connection failed and was aborted")
            self._abort(UnansweredReason.HANDLER_FAILED)
        finally:
            self._writer.close()

    async def _end_cancelled(self, reason: UnansweredReason) -> None:
        if self._refuses_begun:
            await receive_pending()
        unread = self._exchange is None and self.request_started and not self._refused
        if self._refuses_begun and unread:
            await self._refuse_unread(reason)
        else:
            self._abort(reason)

    async def _may_read(self) -> bool:
        """Return whether to read another request: once the server closes, one that has begun."""
        if not self._is_closing() or self.request_started:
            return True
        await receive_pending()
        if not self.request_started:
            self._record(UnansweredReason.SHUTDOWN_IDLE)
        return self.request_started

    async def _serve_one(self) -> bool:
        """Read and answer one request; return whether the connection can be reused."""
        try:
            req = await self._request_reader.read()
        except BadMessage as exc:
            await self._send_problem(exc)
            self._refused = True
            await self._discard_rest()
            return False
        if req is None:
            if self.request_started:
                self._record(UnansweredReason.IDLE_TIMEOUT)
            return False
        self._exchange = Exchange(req, self._conn, self._writer, self._ends_with_response)
        reusable = await self._run_handler(self._exchange)
        self._exchange = None
        if not reusable or not self._cycle_done:
            return False
        self._conn.start_next_cycle()
        return True

    def _ends_with_response(self) -> bool:
        """Return whether the response is the last one; a pipelined request is still answered."""
        return self._should_close() and not self._request_reader.next_started

    @property
    def _cycle_done(self) -> bool:
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def _run_handler(self, exchange: Exchange) -> bool:
        """Answer a request; return False if the connection has to be closed."""
        assert self._task is not None
        self._reader.set_disconnect_callback(exchange.set_disconnected)
        try:
            await self._handler(exchange)
        except asyncio.CancelledError:
            if self._task.cancelling():
                raise
            # The handler awaited something that was cancelled elsewhere.
            await self._handle_failure(exchange)
            return False
        except Exception:
            await self._handle_failure(exchange)
            return False
        finally:
            self._reader.set_disconnect_callback(None)
        if exchange.aborted:
            self._record(UnansweredReason.HANDLER_ABORTED)
        elif not exchange.answered:
            request_id = {"request_id": exchange.request_id}
            logger.error("HTTP handler returned without an answer", extra=request_id)
            await self._send_failure(exchange, UnansweredReason.HANDLER_FAILED)
            return False
        return exchange.answered

    async def _handle_failure(self, exchange: Exchange) -> None:
        logger.exception("HTTP handler failed", extra={"request_id": exchange.request_id})
        if not exchange.answered:
            await self._send_failure(exchange, UnansweredReason.HANDLER_FAILED)

    async def _send_failure(self, exchange: Exchange, reason: UnansweredReason) -> None:
        """Answer a request with 500, or abort the connection if that is not possible any more."""
        if exchange.disconnected.is_set() or not exchange.discard_unsent():
            self._record(reason)
            exchange.abort()
            return
        problem = {
            "type": "about:blank",
            "title": "Internal error",
            "status": 500,
            "detail": "the request failed because of an internal error",
            "ran": "unknown",
            "reason": "internal_error",
            "request_id": exchange.request_id,
        }
        await exchange.send(500, json.dumps(problem).encode(), PROBLEM_TYPE)
        if not exchange.answered:
            self._record(reason)

    async def _refuse_unread(self, reason: UnansweredReason) -> None:
        shutdown = reason is UnansweredReason.SHUTDOWN_IDLE
        detail = "the server shuts down" if shutdown else "too many connections are open"
        with contextlib.suppress(OSError):
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                await self._send_problem(BadMessage(503, detail))
                await self._discard_rest()

    async def _discard_rest(self) -> None:
        """Read what the caller still sends of a refused request, for a limited time.

        Closing a connection with unread bytes resets it, and the refusal may be lost by it.
        """
        with contextlib.suppress(OSError):
            if self._writer.can_write_eof():
                self._writer.write_eof()
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await self._reader.read(MAX_PARSE_BYTES):
                    pass

    async def _send_problem(self, exc: BadMessage) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        req = HttpRequest(self._request_reader.method, "", (), b"")
        exchange = Exchange(req, self._conn, self._writer)
        problem = {
            "type": "about:blank",
            "title": "Bad request",
            "status": exc.status,
            "detail": exc.detail,
            "ran": "no",
            "reason": REASON_BY_STATUS.get(exc.status, "bad_request"),
        }
        body = json.dumps(problem).encode()
        close = (("connection", "close"),)
        await exchange.send(exc.status, body, PROBLEM_TYPE, close)

    def _abort(self, reason: UnansweredReason) -> None:
        if not self._ended_orderly(reason):
            self._record(reason)
        if self._exchange is None:
            self._writer.transport.abort()
        else:
            self._exchange.abort()
            self._exchange = None

    def _ended_orderly(self, reason: UnansweredReason) -> bool:
        """Return whether the request is answered, or the caller left without having sent one."""
        if self._exchange is not None:
            return self._exchange.answered
        if self._refused:
            return True
        return reason is UnansweredReason.CALLER_LEFT and not self.request_started

    def _record(self, reason: UnansweredReason) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.disconnected.is_set():
            # A handler that breaks off for a caller that has left does so on its account.
            reason = UnansweredReason.CALLER_LEFT
        request_id = exchange.request_id if exchange is not None else ""
        self._unanswered.record(reason, _format_address(self._writer), request_id)


def _format_address(writer: asyncio.StreamWriter) -> str:
    """Return the peer's address as HOST:PORT, or an empty text if it is not known."""
    peer = writer.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else ""
