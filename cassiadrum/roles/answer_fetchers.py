"""Fetching the rest of an answer after the caller's connection was lost."""

import asyncio

from cassiadrum.defaults import LIMITS
from cassiadrum.frontends import Problem, send_problem
from cassiadrum.links import Link
from cassiadrum.links.messages import Ack, Attach, Data, Detach, End, Head, Message, RejectStart
from cassiadrum.protocols import Exchange
from cassiadrum.roles.answer_fetches import AnswerFetch
from cassiadrum.roles.fetch_links import FetchLinks

__all__ = ["LinkAnswerFetcher"]

RELAYED_HEADERS = frozenset({"content-type", "location", "etag", "cache-control"})


class LinkAnswerFetcher:
    """Fetcher of the rest of an answer from the sidecar that its id names.

    `links` finds or opens the link to a sidecar instance. Every message of a link has to be passed
    to `handle_message`.
    """

    def __init__(self, links: FetchLinks) -> None:
        self._links = links
        self._fetches: dict[str, AnswerFetch] = {}

    def has_fetches(self, instance: str) -> bool:
        """Return whether an answer is being fetched from a sidecar."""
        return any(fetch.instance == instance for fetch in self._fetches.values())

    def link_up(self, instance: str, link: Link) -> None:
        """Resume the fetches from a sidecar over its new link."""
        for fetch in self._fetches.values():
            if fetch.instance == instance:
                fetch.attach(link)

    def handle_message(self, msg: Message) -> bool:
        """Pass a message to the fetch it belongs to; return whether only that fetch handles it.

        Data messages can hold parts of several attempts and are handled by the router as well.
        """
        if isinstance(msg, Data):
            for part in msg.parts:
                if part[0] in self._fetches:
                    self._fetches[part[0]].messages.put_nowait(Data([part]))
            return False
        if isinstance(msg, Head | End | RejectStart) and msg.attempt_id in self._fetches:
            self._fetches[msg.attempt_id].messages.put_nowait(msg)
            return True
        return False

    async def fetch(self, exchange: Exchange, answer_id: str, position: int) -> None:
        """Send the bytes of the answer from `position` on, or a refusal.

        Only one fetch of an answer can be in progress at a time.
        """
        attempt_id, _, instance = answer_id.rpartition("@")
        async with self._links.open(instance) as link:
            if link is None or not attempt_id or attempt_id in self._fetches:
                await _refuse(exchange, answer_id)
            else:
                await self._fetch(exchange, answer_id, position, link)

    async def _fetch(self, exchange: Exchange, answer_id: str, position: int, link: Link) -> None:
        attempt_id, _, instance = answer_id.rpartition("@")
        fetch = self._fetches[attempt_id] = AnswerFetch(attempt_id, instance, position)
        try:
            fetch.attach(link)
            if not await self._relay_answer(exchange, fetch, answer_id):
                await _refuse(exchange, answer_id)
        finally:
            del self._fetches[attempt_id]
            if not fetch.ended:
                # Detached rather than cancelled, since the caller may fetch the rest again.
                fetch.send(Detach(attempt_id))

    async def _relay_answer(self, exchange: Exchange, fetch: AnswerFetch, answer_id: str) -> bool:
        """Relay the answer; return False when the rest of it is not available."""
        while not exchange.disconnected.is_set():
            try:
                async with asyncio.timeout(LIMITS.DETACHED_STREAM_TIMEOUT_S):
                    msg = await fetch.messages.get()
            except TimeoutError:
                # A running answer may pause for longer than the time-out.
                if fetch.attached and exchange.started:
                    continue
                return False
            if isinstance(msg, Head):
                if not exchange.started:
                    headers = tuple((k, v) for k, v in msg.headers if k in RELAYED_HEADERS)
                    head = (*headers, ("x-request-id", answer_id))
                    await exchange.send_head(msg.status, head)
            elif isinstance(msg, Data):
                data = fetch.new_bytes(msg)
                if data:
                    await exchange.send_data(data)
                    if not exchange.disconnected.is_set():
                        fetch.send(Ack([(fetch.attempt_id, fetch.position)]))
            elif isinstance(msg, End) and msg.ok and msg.position != fetch.position:
                fetch.send(Attach(fetch.attempt_id, fetch.position))
            else:
                return await _finish(exchange, fetch, msg)
        return False


async def _finish(exchange: Exchange, fetch: AnswerFetch, msg: Message) -> bool:
    fetch.ended = True
    if not isinstance(msg, End):
        return False
    fetch.send(Ack([(msg.attempt_id, msg.position)]))
    if not msg.ok or not exchange.started:
        return False
    await exchange.end()
    return True


async def _refuse(exchange: Exchange, answer_id: str) -> None:
    if exchange.started or exchange.disconnected.is_set():
        exchange.abort()
        return
    detail = "the answer was already fetched, has expired, or its sidecar was replaced"
    await send_problem(exchange, Problem("unknown_request", "unknown", detail, answer_id[:200]))
