"""The rest of an answer for a caller that comes back."""

import asyncio
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.frontends import Problem, send_problem
from cassiadrum.links import Link
from cassiadrum.links.messages import Ack, Attach, Data, End, Head, Message, RejectStart
from cassiadrum.protocols import Exchange

__all__ = ["LinkAnswerFetcher"]

RELAYED_HEADERS = frozenset({"content-type", "location", "etag", "cache-control"})


class LinkAnswerFetcher:
    """Attach to a stream at the sidecar that the answer's id names.

    `links` finds the link to a sidecar instance. `offer` takes each message of a link and tells
    whether it belonged to a fetch.
    """

    def __init__(self, links: Callable[[str], Link | None]) -> None:
        self._links = links
        self._fetches: dict[str, asyncio.Queue[Message]] = {}

    def offer(self, msg: Message) -> bool:
        """Take a message if a fetch waits for it."""
        if isinstance(msg, Data):
            for part in msg.parts:
                if part[0] in self._fetches:
                    self._fetches[part[0]].put_nowait(Data([part]))
            return False
        if isinstance(msg, Head | End | RejectStart) and msg.attempt_id in self._fetches:
            self._fetches[msg.attempt_id].put_nowait(msg)
            return True
        return False

    async def fetch(self, exchange: Exchange, answer_id: str, position: int) -> None:
        """Send the bytes of the answer from `position` on, or a refusal."""
        attempt_id, _, instance = answer_id.rpartition("@")
        link = self._links(instance)
        if link is None or not attempt_id or attempt_id in self._fetches:
            await _refuse(exchange, answer_id)
            return
        messages: asyncio.Queue[Message] = asyncio.Queue()
        self._fetches[attempt_id] = messages
        try:
            link.send(Attach(attempt_id, position))
            await self._relay(exchange, link, messages, answer_id)
        finally:
            del self._fetches[attempt_id]

    async def _relay(
        self, exchange: Exchange, link: Link, messages: asyncio.Queue[Message], answer_id: str
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(LIMITS.DETACHED_STREAM_S):
                    msg = await messages.get()
            except TimeoutError:
                msg = RejectStart("", "unknown_request", 0.0)
            if isinstance(msg, Head):
                headers = tuple((k, v) for k, v in msg.headers if k in RELAYED_HEADERS)
                await exchange.send_head(msg.status, (*headers, ("x-request-id", answer_id)))
            elif isinstance(msg, Data):
                for attempt_id, position, data in msg.parts:
                    await exchange.send_data(data)
                    link.send(Ack([(attempt_id, position + len(data))]))
            elif isinstance(msg, End) and msg.ok and exchange.started:
                link.send(Ack([(msg.attempt_id, msg.position)]))
                await exchange.end()
                return
            else:
                await _refuse(exchange, answer_id)
                return


async def _refuse(exchange: Exchange, answer_id: str) -> None:
    if exchange.started:
        exchange.abort()
        return
    detail = "the answer was fetched, is too old, or its sidecar was replaced"
    await send_problem(exchange, Problem("unknown_request", "unknown", detail, answer_id[:200]))
