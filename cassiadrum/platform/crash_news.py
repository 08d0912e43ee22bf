"""News of endpoints that ended as they began answers."""

import random
from collections.abc import Iterable
from typing import Final

from cassiadrum.crash_evidence import (
    EVIDENCE_S,
    AnsweredContent,
    CrashBoard,
    CrashNews,
    EndpointCrash,
    decode_content,
    decode_crash,
    encode_crash,
)
from cassiadrum.platform.fleet_news import FleetNews, NewsTiming
from cassiadrum.platform.member_rows import AnsweredRow, CrashRow, MemberRow

__all__ = ["CrashFleetNews"]

# Crashes of the same moment are told together.
CRASH_TIMING: Final = NewsTiming(interval_s=0.25, delay_s=0.05)
# Many gateways may have the same answers to tell, at the same time.
ANSWERED_INTERVAL_S: Final = 1.0
MAX_ANSWERED_DELAY_S: Final = 1.0


class CrashFleetNews(FleetNews):
    """The news of a crash board in rows."""

    def __init__(self, board: CrashBoard) -> None:
        super().__init__()
        self._board = board
        board.on_news = lambda: self.on_news(CRASH_TIMING)
        board.on_answers = self._schedule_answers

    def encode(self, row: MemberRow, zero_s: float) -> None:
        """Put the crashes and answers that this gateway tells into its row."""
        news = self._board.own_news()
        row.crashes = [_encode_crash(crash, zero_s) for crash in news.crashes]
        row.answered = [_encode_answered(answered, zero_s) for answered in news.answered]

    def adopt(self, row: MemberRow, zero_s: float, *, registered: bool) -> None:
        """Take over what an earlier process told, however long ago it ended."""
        self._board.adopt(_decode(row, zero_s))

    def apply(self, rows: Iterable[MemberRow], zero_s: float) -> None:
        """Apply what gateways tell."""
        self._board.apply(_decode(row, zero_s) for row in rows)

    def is_needed(self, row: MemberRow, now_s: float, zero_s: float) -> bool:
        """Return whether a row has a crash that still counts as evidence."""
        oldest_ms = (now_s - EVIDENCE_S - zero_s) * 1000
        return any(crash.at_ms >= oldest_ms for crash in row.crashes)

    def _schedule_answers(self) -> None:
        delay_s = random.uniform(0.0, MAX_ANSWERED_DELAY_S)
        self.on_news(NewsTiming(ANSWERED_INTERVAL_S, delay_s))


def _encode_crash(crash: EndpointCrash, zero_s: float) -> CrashRow:
    return CrashRow(crash.endpoint, (crash.at_s - zero_s) * 1000, encode_crash(crash))


def _encode_answered(answered: AnsweredContent, zero_s: float) -> AnsweredRow:
    whole_s = answered.whole_s
    whole_ms = None if whole_s is None else (whole_s - zero_s) * 1000
    return AnsweredRow(str(answered.content), whole_ms)


def _decode(row: MemberRow, zero_s: float) -> CrashNews:
    answered = (_decode_answered(found, zero_s) for found in row.answered)
    return CrashNews(
        tuple(_decode_crash(crash, zero_s) for crash in row.crashes),
        tuple(found for found in answered if found is not None),
    )


def _decode_crash(row: CrashRow, zero_s: float) -> EndpointCrash:
    return decode_crash(row.endpoint, zero_s + row.at_ms / 1000, row.contents)


def _decode_answered(row: AnsweredRow, zero_s: float) -> AnsweredContent | None:
    content = decode_content(row.content)
    if content is None:
        return None
    return AnsweredContent(content, None if row.whole_ms is None else zero_s + row.whole_ms / 1000)
