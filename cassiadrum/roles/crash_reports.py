"""Conversion of news about crashes to and from the message that carries them."""

from cassiadrum.crash_evidence import (
    AnsweredContent,
    CrashNews,
    decode_content,
    decode_crash,
    encode_crash,
)
from cassiadrum.links.messages import CrashReport

__all__ = ["make_crash_report", "read_crash_report"]


def make_crash_report(news: CrashNews, now: float) -> CrashReport:
    """Return a message with the news; `now` is the time on the clock of the news."""
    return CrashReport(
        [(crash.endpoint, now - crash.at_s, encode_crash(crash)) for crash in news.crashes],
        [
            (str(found.content), None if found.whole_s is None else now - found.whole_s)
            for found in news.answered
        ],
    )


def read_crash_report(report: CrashReport, now: float) -> CrashNews:
    """Return the news in a message; `now` is the time on the receiver's clock."""
    crashes = [
        decode_crash(endpoint, now - max(0.0, age_s), contents)
        for endpoint, age_s, contents in report.crashes
    ]
    answered = []
    for text, age_s in report.answered:
        content = decode_content(text)
        if content is not None:
            answered.append(AnsweredContent(content, None if age_s is None else now - age_s))
    return CrashNews(tuple(crashes), tuple(answered))
