"""Answers of the gateway itself."""

from cassiadrum.gateways.errors import Denied
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.protocols import Exchange

__all__ = ["AnswerWriter"]


class AnswerWriter:
    """Tell a caller why its request got no endpoint's answer, and whether it may have run."""

    def __init__(self, ctx: RequestContext, exchange: Exchange) -> None:
        self._ctx = ctx
        self._exchange = exchange

    async def deny(self, exc: Denied) -> None:
        """Say that the configuration does not allow the request."""
        await self._exchange.send_json(exc.status, self._body(exc.reason))

    async def refuse(self, reason: str, retry_after_s: float, *, close: bool) -> None:
        """Promise that the request has not run; with `close` the connection ends.

        The caller's next request then reaches a gateway that can serve it.
        """
        headers = [("retry-after", f"{retry_after_s:.12g}")]
        if close:
            headers.append(("connection", "close"))
        await self._exchange.send_json(503, self._body(reason), tuple(headers))

    async def fail(self, status: int, reason: str) -> None:
        """Say that the request may have run; an answer that has begun is cut."""
        if self._exchange.started:
            self._exchange.abort()
        else:
            await self._exchange.send_json(status, self._body(reason))

    def _body(self, reason: str) -> dict[str, str]:
        return {"reason": reason, "ran": "unknown" if self._ctx.may_have_run else "no"}
