"""Tests of the requests that an entry instance makes of calls."""

import pytest

from cassiadrum.documents import parse_document
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.request_parsers import RequestParser
from cassiadrum.tests.sites import example


class TestSilenceLimit:
    """Guards against a call that is given up when its deadline leaves no time for another try."""

    @pytest.mark.parametrize(
        ("target", "latest_s"),
        # The deadlines are 10 s and 600 s.
        [("/permits/1", 5.0), ("/export/1", 300.0)],
    )
    def test_idempotent_call_can_be_tried_again(self, target: str, latest_s: float) -> None:
        document = parse_document(example("permit-register"))
        parser = RequestParser("entry-1", lambda name: document)
        http = HttpRequest("GET", f"/services/permit-register{target}", (), b"")
        assert 0.0 < parser.parse(http).silence_limit_s <= latest_s
