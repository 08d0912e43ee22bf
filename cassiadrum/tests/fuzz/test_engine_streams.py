"""Tests of the router with generated event streams from engines."""

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiadrum.protocols import Exchange
from cassiadrum.standins import EngineStandIn
from cassiadrum.tests.fuzz.conftest import FuzzSite
from cassiadrum.tests.harness import Answer, StreamCaller

EVENT = b'data: {"choices": []}\n\n'
DONE = b"data: [DONE]\n\n"
HUGE_EVENT_BYTES = 1024 * 1024
STREAM_PARTS = st.sampled_from(
    [
        EVENT,
        DONE,
        EVENT[:7],
        EVENT[7:],
        b"\n",
        b"\n\n",
        b"\r\n\r\n",
        b": comment\n\n",
        b"data: \xff\xfe\n\n",
        b"event: x\ndata: y\n\n",
        b"data: " + b"z" * 5000,
    ]
) | st.binary(min_size=1, max_size=20)


class EngineScript:
    """Data that every engine sends; `abort_at_end` aborts the connection after the last part."""

    parts: tuple[bytes, ...] = ()
    abort_at_end = False


@pytest.fixture(scope="class")
def script(fuzz_site: FuzzSite) -> Iterator[EngineScript]:
    """Make every engine of the site answer with the parts of a script."""
    current = EngineScript()

    async def complete(self: EngineStandIn, exchange: Exchange) -> None:
        await exchange.send_head(200, (("content-type", "text/event-stream"),))
        for part in current.parts:
            await exchange.send_data(part)
        if current.abort_at_end:
            exchange.abort()
        else:
            await exchange.end()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(EngineStandIn, "_complete", complete)
        yield current


class TestEngineStreams:
    """Guards against an engine whose stream makes a caller's answer hang, grow or get mixed up.

    Engines may split events at any byte, send invalid UTF-8, unknown events or events without an
    end, or close the connection in the middle. The caller gets the same bytes or an
    error.
    """

    @given(st.lists(STREAM_PARTS, max_size=8))
    @settings(max_examples=80)
    def test_any_stream_is_relayed_unchanged(
        self, fuzz_site: FuzzSite, script: EngineScript, parts: list[bytes]
    ) -> None:
        script.parts, script.abort_at_end = tuple(parts), False
        answer = self.request_completion(fuzz_site)
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body == b"".join(parts)

    @given(st.lists(STREAM_PARTS, max_size=4))
    @settings(max_examples=30)
    def test_aborted_stream_is_reported_to_the_caller(
        self, fuzz_site: FuzzSite, script: EngineScript, parts: list[bytes]
    ) -> None:
        script.parts, script.abort_at_end = tuple(parts), True
        answer = self.request_completion(fuzz_site)
        assert answer.status == 502 or b"event: error\n" in answer.body or not answer.complete

    @pytest.mark.parametrize(
        "parts",
        [(b"data: " + b"z" * HUGE_EVENT_BYTES + b"\n\n", DONE), (b"z" * HUGE_EVENT_BYTES,)],
        ids=["whole", "without an end"],
    )
    def test_huge_event_does_not_hang(
        self, fuzz_site: FuzzSite, script: EngineScript, parts: tuple[bytes, ...]
    ) -> None:
        script.parts, script.abort_at_end = parts, False
        answer = self.request_completion(fuzz_site)
        reported = answer.status == 502 or b"event: error\n" in answer.body
        assert reported or answer.body == b"".join(parts)

    @staticmethod
    def request_completion(fuzz_site: FuzzSite) -> Answer:
        async def send() -> Answer:
            return await StreamCaller.completion(fuzz_site.site.entry_address(), "yoke").answer()

        return fuzz_site.run(send())
