"""Ends of a sidecar's endpoint as it began answers."""

import logging
import secrets
from collections.abc import Callable
from random import Random
from typing import Final

from cassiadrum.crash_evidence import (
    ContentKind,
    Contents,
    CrashBoard,
    Exposure,
    decode_contents,
    decode_exposures,
    find_request,
)
from cassiadrum.links.messages import CrashReport
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.roles.crash_reports import make_crash_report
from cassiadrum.roles.sidecar_streams import SidecarStream

__all__ = ["SidecarCrashes"]

logger = logging.getLogger(__name__)

# Time within which calls that are lost belong to the same end of the endpoint.
SAME_CRASH_S: Final = 0.5
MAX_LOGGED_CONTENTS: Final = 24


class SidecarCrashes:
    """What the requests held under which the endpoint ended, which all entry instances are told.

    `clock` returns monotonic seconds; `on_news` is called when there is something to tell.
    """

    def __init__(self, clock: Callable[[], float], on_news: Callable[[], None]) -> None:
        self._clock = clock
        self._board = CrashBoard(clock, Random())
        self._board.on_news = self._board.on_answers = on_news
        # Tells the ends of this endpoint from all others, also those that an earlier process told.
        self._process = secrets.token_hex(4)
        self._count = 0
        self._ended_s = float("-inf")

    def record_begun(self, stream: SidecarStream) -> None:
        """Record that the endpoint has begun an answer and goes on."""
        self._board.record_begun(_contents(stream))

    def record_answered(self, stream: SidecarStream) -> None:
        """Record a whole answer."""
        self._board.record_answered(_contents(stream))

    def record_lost(self, stream: SidecarStream) -> None:
        """Record that the endpoint ended before the end of a stream's answer.

        What else the request of a stream holds is no evidence if the answer was begun.
        """
        now = self._clock()
        if now > self._ended_s + SAME_CRASH_S:
            self._ended_s = now
            self._count += 1
        begun = stream.tokens > 0
        contents = _contents(stream)
        if begun:
            contents = {
                found: depth
                for found, depth in contents.items()
                if found.kind is ContentKind.REQUEST
            }
        held_s = 0.0 if stream.timing is None else now - stream.timing.started_s
        content = find_request(contents)
        exposures = decode_exposures(stream.start.contents)
        if content is not None:
            known = exposures.get(content, Exposure())
            exposures[content] = known._replace(held_s=held_s, begun=begun)
        logger.info(
            "endpoint ended" if begun else "endpoint ended as it began answers",
            extra={
                "service": stream.start.service,
                "request_id": stream.start.request_id,
                "contents": [str(content) for content in contents][:MAX_LOGGED_CONTENTS],
                "held_ms": round(held_s * 1000),
                "resent": any(exposure.resent for exposure in exposures.values()),
                RATE_LIMITED_FIELD: True,
            },
        )
        self._board.record_crash(f"{self._process} {self._count}", contents, exposures)

    def expire(self) -> None:
        """Forget evidence that no longer counts."""
        self._board.expire()

    def report(self) -> CrashReport | None:
        """Return what the entry instances are told, None if there is nothing."""
        news = self._board.own_news()
        return make_crash_report(news, self._clock()) if news.crashes else None


def _contents(stream: SidecarStream) -> Contents:
    return decode_contents(stream.start.contents)
