"""Tests of contents of requests as texts."""

import random
import re

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.crash_evidence import (
    CONTENT_PATTERN,
    CONTENTS_PATTERN,
    CrashBoard,
    EndpointCrash,
    Exposure,
    customer_content,
    decode_content,
    decode_contents,
    decode_crash,
    encode_contents,
    encode_crash,
    part_contents,
    request_content,
)
from cassiadrum.links.codecs import decode_message, encode_message
from cassiadrum.links.messages import CrashReport
from cassiadrum.platform.crash_news import CrashFleetNews
from cassiadrum.platform.member_rows import MemberRow, decode_member
from cassiadrum.platform.row_pages import ChangedRow
from cassiadrum.roles.crash_reports import make_crash_report, read_crash_report

NAMES = st.lists(st.text(max_size=100), max_size=20)


class TestContentTexts:
    """Guards against a name that callers choose and that no other process can read."""

    @given(names=NAMES, customer=st.text(max_size=100))
    def test_any_names_come_back(self, names: list[str], customer: str) -> None:
        contents = part_contents(names)
        contents[request_content(b"x")] = len(names)
        contents[customer_content(customer)] = 0
        texts = encode_contents(contents)
        assert all(re.search(CONTENTS_PATTERN, text) for text in texts)
        assert decode_contents(texts) == contents
        for content in contents:
            assert re.search(CONTENT_PATTERN, str(content))
            assert decode_content(str(content)) == content

    @given(held_s=st.none() | st.floats(0.0, 1e6), resent=st.booleans())
    def test_exposures_come_back_and_earlier_versions_read_the_contents(
        self, held_s: float | None, resent: bool
    ) -> None:
        content = request_content(b"x")
        crash = EndpointCrash("e-1", 5.0, {content: 2}, {content: Exposure(held_s, resent)}, 7)
        texts = encode_crash(crash)
        assert all(re.search(CONTENTS_PATTERN, text) for text in texts)
        assert decode_contents(texts) == crash.contents
        found = decode_crash("e-1", 5.0, texts)
        assert found.peers == 7
        exposure = found.exposures.get(content, Exposure())
        assert exposure.resent == resent
        if held_s is None:
            assert exposure.held_s is None
        else:
            assert exposure.held_s == pytest.approx(min(held_s, 999.999), abs=0.001)

    def test_unknown_kind_is_left_out(self) -> None:
        assert decode_contents(["tool:0:x", "part:1:a"]) == {next(iter(part_contents(["a"]))): 1}
        assert decode_content("tool:x") is None

    @given(names=NAMES)
    def test_news_come_back_from_rows_and_messages(self, names: list[str]) -> None:
        board = CrashBoard(lambda: 100.0, random.Random(1))
        board.record_crash("e-1 127.0.0.1:9 1", part_contents([*names, "bad"]))
        row = MemberRow(joined_ms=0.0, expires_ms=0.0)
        CrashFleetNews(board).encode(row, 40.0)
        reader = CrashBoard(lambda: 100.0, random.Random(1))
        member = decode_member(ChangedRow("g-1", msgspec.json.encode(row), 1))
        CrashFleetNews(reader).adopt(member, 40.0, registered=False)
        assert reader.own_news() == board.own_news()

        board.record_answered(part_contents(names))
        news = board.own_news()
        report = make_crash_report(news, 100.0)
        found = decode_message(encode_message(report))
        assert isinstance(found, CrashReport)
        assert read_crash_report(found, 100.0) == news
