"""Tests of the request limits that endpoints state in their answers."""

import pytest

from cassiadrum.gateways import LimitNotice, SingleGateway
from cassiadrum.gateways.request_limits import RequestLimit
from cassiadrum.platform.call_codecs import PlatformProtocol


class TestLimitDecoding:
    """Guards against an unreadable limit that is taken for a number, and the reverse."""

    @pytest.mark.parametrize(
        ("text", "rate_per_s"),
        [
            ("5", 5.0),
            ("0.25", 0.25),
            ("12.", 12.0),
            ("0", 0.0),
            (" 3 ", 3.0),
            ("", None),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("1e9", None),
            ("1_0", None),
            ("5, 5", None),
            ("many", None),
            ("9" * 5000, None),
        ],
    )
    def test_limit(self, text: str, rate_per_s: float | None) -> None:
        head = PlatformProtocol().decode_head(200, (("server-limit", text),))
        assert head.limit == LimitNotice(text, rate_per_s)

    def test_no_limit(self) -> None:
        assert PlatformProtocol().decode_head(200, ()).limit is None


class TestLimitBelief:
    """Guards against a limit that an overtaken answer raises or ends."""

    def make(self) -> RequestLimit:
        limit = RequestLimit("i-0", SingleGateway())
        limit.record_answer(LimitNotice("5", 5.0), sent_s=1.0, now=2.0)
        return limit

    def test_answer_to_an_earlier_request_does_not_end_the_limit(self) -> None:
        limit = self.make()
        limit.record_answer(None, sent_s=1.5, now=3.0)
        assert limit.rate_per_s == 5.0
        limit.record_answer(None, sent_s=2.5, now=3.0)
        assert limit.rate_per_s is None

    def test_answer_to_an_earlier_request_does_not_raise_the_limit(self) -> None:
        limit = self.make()
        limit.record_answer(LimitNotice("9", 9.0), sent_s=1.5, now=3.0)
        assert limit.rate_per_s == 5.0
        limit.record_answer(LimitNotice("9", 9.0), sent_s=2.5, now=3.0)
        assert limit.rate_per_s == 9.0

    def test_limit_of_0_is_not_raised_by_an_earlier_request(self) -> None:
        limit = self.make()
        limit.record_answer(LimitNotice("0", 0.0), sent_s=2.5, now=3.0)
        limit.record_answer(LimitNotice("9", 9.0), sent_s=1.5, now=3.5)
        assert limit.rate_per_s == 0.0

    def test_lower_limit_applies_at_once(self) -> None:
        limit = self.make()
        limit.record_answer(LimitNotice("2", 2.0), sent_s=1.5, now=3.0)
        assert limit.rate_per_s == 2.0

    def test_unreadable_notice_changes_nothing(self) -> None:
        limit = self.make()
        limit.record_answer(LimitNotice("x", None), sent_s=2.5, now=3.0)
        assert limit.rate_per_s == 5.0
