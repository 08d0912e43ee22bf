"""The HTTP interface for callers."""

import re
from collections.abc import Callable
from typing import Protocol

from cassiadrum.frontends import Problem, send_problem
from cassiadrum.protocols import Exchange, Headers
from cassiadrum.roles.caller_events import AnswerData, AnswerEnd, AnswerHead
from cassiadrum.roles.errors import InvalidRequest
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.request_parsers import RequestParser
from cassiadrum.roles.router_messages import CallerDisconnected, Delivered, RouterMessage, Submit

__all__ = ["AnswerFetcher", "CallerHandler"]

SERVICES_PREFIX = "/services/"
REQUESTS_PREFIX = "/requests/"
RETRY_AFTER_S = 1.0
# int() raises ValueError for very long digit strings.
POSITION = re.compile(r"[0-9]{1,18}")


class AnswerFetcher(Protocol):
    """Fetcher of the rest of an answer for a caller that has reconnected."""

    async def fetch(self, exchange: Exchange, answer_id: str, position: int) -> None:
        """Send the bytes of the answer from `position` on, or a refusal."""


class CallerHandler:
    """Handler of callers' requests: submits each to the router and writes its answer.

    `post` queues a message for the router. `is_ready` returns whether the instance has a
    configuration. `on_refused(service, reason)` is called for refusals before the class of a
    request is known. The service is empty then, because its name would be arbitrary text from the
    caller.
    """

    def __init__(
        self,
        parser: RequestParser,
        post: Callable[[RouterMessage], None],
        fetcher: AnswerFetcher,
        is_ready: Callable[[], bool],
        on_refused: Callable[[str, str], None],
    ) -> None:
        self.draining = False
        self.active_requests = 0
        self._parser = parser
        self._post = post
        self._fetcher = fetcher
        self._is_ready = is_ready
        self._on_refused = on_refused

    async def __call__(self, exchange: Exchange) -> None:
        """Handle one HTTP exchange."""
        path = exchange.req.path
        if path == "/healthz":
            serving = self._is_ready() and not self.draining
            await exchange.send_json(200 if serving else 503, {"serving": serving})
        elif path.startswith(REQUESTS_PREFIX) and exchange.req.method == "GET":
            await self._handle_fetch(exchange, path.removeprefix(REQUESTS_PREFIX))
        elif not path.startswith(SERVICES_PREFIX):
            await send_problem(
                exchange, Problem("unknown_service", "no", f"unknown path {path[:200]}")
            )
        elif self.draining:
            self._on_refused("", "draining")
            await send_problem(exchange, Problem("draining", "no", retry_after_s=RETRY_AFTER_S))
        elif not self._is_ready():
            self._on_refused("", "no_configuration")
            problem = Problem("no_configuration", "no", retry_after_s=RETRY_AFTER_S)
            await send_problem(exchange, problem)
        else:
            await self._handle_request(exchange)

    async def _handle_request(self, exchange: Exchange) -> None:
        try:
            pending = self._parser.parse(exchange.req)
        except InvalidRequest as exc:
            self._on_refused("", exc.reason)
            await send_problem(exchange, Problem(exc.reason, "no", exc.detail))
            return
        exchange.request_id = pending.queued.request_id
        self.active_requests += 1
        self._post(Submit(pending))
        try:
            await self._relay_answer(exchange, pending)
        finally:
            self.active_requests -= 1
            # This also runs when the connection's task is cancelled.
            self._post(CallerDisconnected(pending.queued.request_id))

    async def _relay_answer(self, exchange: Exchange, pending: PendingRequest) -> None:
        request_id = pending.queued.request_id
        exchange.on_disconnect(lambda: pending.caller_events.put_nowait(None))
        events = pending.caller_events
        while True:
            event, sent = await events.get(), None
            # Events that are ready together are sent in one write.
            while isinstance(event, AnswerHead | AnswerData):
                if isinstance(event, AnswerHead):
                    headers: Headers = (*event.headers, ("x-request-id", event.answer_id))
                    exchange.buffer_head(event.status, headers)
                else:
                    exchange.buffer_data(event.data)
                    sent = event
                if events.empty():
                    break
                event = events.get_nowait()
            if event is None:
                exchange.abort()
                return
            if isinstance(event, AnswerEnd):
                await _finish(exchange, event, pending)
                return
            await exchange.flush()
            if sent is not None:
                self._post(Delivered(request_id, sent.attempt_id, sent.position))

    async def _handle_fetch(self, exchange: Exchange, answer_id: str) -> None:
        name, _, value = exchange.req.query.partition("=")
        if exchange.req.query and (name != "position" or not POSITION.fullmatch(value)):
            detail = "the only query parameter allowed is `position`, a byte offset"
            await send_problem(exchange, Problem("bad_request", "no", detail))
            return
        self.active_requests += 1
        try:
            await self._fetcher.fetch(exchange, answer_id, int(value or 0))
        finally:
            self.active_requests -= 1


async def _finish(exchange: Exchange, event: AnswerEnd, pending: PendingRequest) -> None:
    if event.problem is None:
        await exchange.end()
    elif not exchange.started:
        await send_problem(exchange, event.problem)
    elif pending.streaming:
        # The status has already been sent, so the refusal becomes the last event of the stream.
        body = event.problem.body().decode()
        await exchange.send_data(f"event: error\ndata: {body}\n\n".encode())
        await exchange.end()
    elif exchange.discard_unsent():
        await send_problem(exchange, event.problem)
    else:
        exchange.abort()
