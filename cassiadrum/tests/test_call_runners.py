"""Tests of the task that calls the endpoint for a request."""

from collections.abc import AsyncGenerator
from typing import Any

import pytest

from cassiadrum.decisions import Outcome, QueuedRequest
from cassiadrum.defaults import LIMITS
from cassiadrum.links.messages import StartRequest
from cassiadrum.protocols import HttpResponse
from cassiadrum.roles.call_runners import CallRunner
from cassiadrum.roles.sidecar_messages import CallData, SidecarMessage
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.states import Claimed, KeptAnswer

CHUNK = bytes(64 * 1024)


class FakeEndpoint:
    """An endpoint that answers with a body of `parts` chunks."""

    def __init__(self, parts: int) -> None:
        self._chunk_count = parts

    async def has_ended(self) -> bool:
        return False

    async def lives(self) -> bool:
        return True

    async def call(self, call: Any) -> HttpResponse:
        async def body() -> AsyncGenerator[bytes, None]:
            for _ in range(self._chunk_count):
                yield CHUNK

        return HttpResponse(201, (("content-type", "text/plain"),), body())


class RecordingOnceOnlyGuard:
    """A guard that permits every call and records the answer to keep."""

    def __init__(self) -> None:
        self.answer: KeptAnswer | None = None

    async def claim(self, start: StartRequest) -> Claimed:
        return Claimed(None, None, 1)  # type: ignore[arg-type]

    async def settle(
        self, start: StartRequest, claim: Claimed, outcome: Outcome, answer: KeptAnswer | None
    ) -> None:
        self.answer = answer


class TestOnceOnlyAnswers:
    """Guards against unbounded memory for the kept answer of a once-only call.

    The answer is collected while it is relayed; one that is too long is relayed but not kept.
    """

    @pytest.mark.parametrize(("parts", "kept"), [(2, True), (40, False)])
    async def test_long_answer_is_relayed_but_not_kept(self, parts: int, kept: bool) -> None:
        guard, posted = RecordingOnceOnlyGuard(), list[SidecarMessage]()
        runner = CallRunner(FakeEndpoint(parts), guard, posted.append)  # type: ignore[arg-type]
        fields = ("r.1", "r", "s", "c", 1, False, True, False, "x", 60.0)
        start = StartRequest(*fields, "POST", "/", [], b"", "key")
        queued = QueuedRequest("r.1", "s", "c", 1, False, "x", 0.0)
        await runner.run(SidecarStream(start, queued, None))  # type: ignore[arg-type]
        relayed = sum(len(msg.data) for msg in posted if isinstance(msg, CallData))
        assert relayed == parts * len(CHUNK)
        assert guard.answer is not None
        assert guard.answer.body_kept is kept
        assert len(guard.answer.body) <= LIMITS.CLAIM_ANSWER_BYTES
