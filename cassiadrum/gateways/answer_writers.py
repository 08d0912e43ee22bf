"""Answers that the gateway generates itself."""

from cassiadrum.gateways.errors import Denied
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.protocols import Exchange

__all__ = ["AnswerWriter"]


class AnswerWriter:
    """Writer of refusals and failures, which say why and whether the request may have run."""

    def __init__(self, ctx: RequestContext, exchange: Exchange) -> None:
        self._ctx = ctx
        self._exchange = exchange

    async def deny(self, exc: Denied) -> None:
        """Report that the configuration does not allow the request."""
        await self._exchange.send_json(exc.status, self._body(exc.reason))

    async def refuse(self, reason: str, retry_after_s: float, *, close: bool) -> None:
        """Report that the request has not run and may be retried after `retry_after_s` seconds.

        With `close` the connection is closed, so that the caller's next connection can reach a
        gateway that is able to serve it.
        """
        headers = [("retry-after", f"{retry_after_s:.12g}")]
        if close:
            headers.append(("connection", "close"))
        await self._exchange.send_json(503, self._body(reason), tuple(headers))

    async def fail(self, status: int, reason: str) -> None:
        """Report a failed request; an answer that has been started is aborted."""
        if self._exchange.started:
            self._exchange.abort()
        else:
            await self._exchange.send_json(status, self._body(reason))

    def _body(self, reason: str) -> dict[str, str]:
        return {"reason": reason, "ran": "unknown" if self._ctx.may_have_run else "no"}
