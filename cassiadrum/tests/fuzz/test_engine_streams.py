"""Generated event streams from engines."""

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
HUGE = 1024 * 1024
PARTS = st.sampled_from(
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


class Script:
    """What the engines send; `cut` ends the connection instead of the answer."""

    parts: tuple[bytes, ...] = ()
    cut = False


@pytest.fixture(scope="class")
def script(fuzz_site: FuzzSite) -> Iterator[Script]:
    """Let every engine of the site answer by a script."""
    current = Script()

    async def complete(self: EngineStandIn, exchange: Exchange) -> None:
        await exchange.send_head(200, (("content-type", "text/event-stream"),))
        for part in current.parts:
            await exchange.send_data(part)
        if current.cut:
            exchange.abort()
        else:
            await exchange.end()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(EngineStandIn, "_complete", complete)
        yield current


class TestEngineStreams:
    """Guards against an engine whose stream hangs, grows or mixes up a caller's answer."""

    @given(st.lists(PARTS, max_size=8))
    @settings(max_examples=80)
    def test_any_stream_arrives_unchanged(
        self, fuzz_site: FuzzSite, script: Script, parts: list[bytes]
    ) -> None:
        script.parts, script.cut = tuple(parts), False
        answer = self.ask(fuzz_site)
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body == b"".join(parts)

    @given(st.lists(PARTS, max_size=4))
    @settings(max_examples=30)
    def test_cut_stream_is_told(
        self, fuzz_site: FuzzSite, script: Script, parts: list[bytes]
    ) -> None:
        script.parts, script.cut = tuple(parts), True
        answer = self.ask(fuzz_site)
        assert answer.status == 502 or b"event: error\n" in answer.body or not answer.complete

    @pytest.mark.parametrize(
        "parts",
        [(b"data: " + b"z" * HUGE + b"\n\n", DONE), (b"z" * HUGE,)],
        ids=["whole", "without an end"],
    )
    def test_huge_event_does_not_hang(
        self, fuzz_site: FuzzSite, script: Script, parts: tuple[bytes, ...]
    ) -> None:
        script.parts, script.cut = parts, False
        answer = self.ask(fuzz_site)
        told = answer.status == 502 or b"event: error\n" in answer.body
        assert told or answer.body == b"".join(parts)

    @staticmethod
    def ask(fuzz_site: FuzzSite) -> Answer:
        async def ask() -> Answer:
            return await StreamCaller.completion(fuzz_site.site.entry_address(), "yoke").answer()

        return fuzz_site.run(ask())
