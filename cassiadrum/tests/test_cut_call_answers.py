"""Tests of answers that an endpoint breaks off at any byte on the way of a sidecar."""

import asyncio
from typing import cast

import pytest

from cassiadrum.decisions import ExecutionStatus, Outcome, QueuedRequest
from cassiadrum.endpoints import Endpoint, PlainEndpoint
from cassiadrum.links.messages import StartRequest
from cassiadrum.protocols import HttpClient
from cassiadrum.roles.call_runners import CallRunner
from cassiadrum.roles.once_only_guards import OnceOnlyGuard
from cassiadrum.roles.sidecar_messages import CallData, CallEnded, CallHead, SidecarMessage
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.tests.gateways.cut_answers import Ending
from cassiadrum.tests.gateways.test_cut_answers import (
    BODY,
    ERROR_FRAMINGS,
    EVENTS,
    FRAMINGS,
    INTERIM_ANSWER,
    KINDS,
    Framing,
    decode_body,
    is_whole,
)
from cassiadrum.tests.memory_clients import OK_ANSWER, MemoryClient

CALL_TIMEOUT_S = 5.0
ENDINGS = (Ending.CLOSED, Ending.RESET, Ending.RESET_WITH_DATA)


class RunningEndpoint(PlainEndpoint):
    """An endpoint that goes on after an answer, whatever becomes of that."""

    async def has_ended(self) -> bool:
        return False

    async def lives(self) -> bool:
        return True


async def run_call(client: HttpClient) -> list[SidecarMessage]:
    """Return the messages of one call."""
    endpoint = RunningEndpoint("127.0.0.1", 1)
    endpoint._client = client
    return await call_endpoint(endpoint)


async def call_outcome(endpoint: Endpoint) -> Outcome:
    """Return the outcome of one call of an endpoint."""
    ended = [msg for msg in await call_endpoint(endpoint) if isinstance(msg, CallEnded)]
    return ended[-1].outcome


async def call_endpoint(endpoint: Endpoint) -> list[SidecarMessage]:
    """Return the messages of one call of an endpoint."""
    posted: list[SidecarMessage] = []
    runner = CallRunner(endpoint, cast(OnceOnlyGuard, None), posted.append)
    fields = ("r.1", "r", "s", "c", 1, False, False, True, "x", 60.0)
    start = StartRequest(*fields, "POST", "/", [], b"{}", idempotent=True)
    queued = QueuedRequest("r.1", "s", "c", 1, False, "x", 0.0)
    stream = SidecarStream(start, queued, None)  # type: ignore[arg-type]
    async with asyncio.timeout(CALL_TIMEOUT_S):
        await runner.run(stream)
    return posted


def relayed_body(posted: list[SidecarMessage]) -> bytes:
    return b"".join(msg.data for msg in posted if isinstance(msg, CallData))


class TestCutCallAnswers:
    """Guards against an answer that is broken off and that a sidecar reports as complete.

    An endpoint stops at any byte of the head or body. The call ends well only with the whole
    answer, and has failed with an unknown outcome otherwise.
    """

    @pytest.mark.parametrize(
        "framing", [*FRAMINGS.values(), *ERROR_FRAMINGS.values()], ids=[*FRAMINGS, *ERROR_FRAMINGS]
    )
    async def test_answer(self, framing: Framing) -> None:
        for ending in ENDINGS:
            await self._cut_answer(framing, ending)

    @pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
    @pytest.mark.parametrize("prefix", [b"", INTERIM_ANSWER], ids=["first", "interim answer"])
    @pytest.mark.parametrize("name", KINDS)
    async def test_answer_after_other_bytes(self, name: str, prefix: bytes, reused: bool) -> None:
        await self._cut_answer(FRAMINGS[name], Ending.CLOSED_WITH_DATA, prefix, reused=reused)

    @staticmethod
    async def _cut_answer(
        framing: Framing, ending: Ending, prefix: bytes = b"", *, reused: bool = False
    ) -> None:
        sent = prefix + framing.head + framing.body
        for cut in range(len(sent) + 1):
            where = (ending, cut)
            answers: list[tuple[bytes, Ending | None]] = [(sent[:cut], ending)]
            client = MemoryClient([(OK_ANSWER, None), *answers] if reused else answers)
            if reused:
                assert relayed_body(await run_call(client)) == b"ok"
            posted = await run_call(client)
            ended = posted[-1]
            assert isinstance(ended, CallEnded)
            body_bytes = cut - len(prefix) - len(framing.head)
            received = decode_body(framing, body_bytes)
            # A stream without a length that ends inside an event was cut.
            ends_with_event = received in (b"", EVENTS[0], BODY)
            assert BODY.startswith(relayed_body(posted)), where
            if is_whole(framing, body_bytes, ending) and ends_with_event:
                heads = [msg for msg in posted if isinstance(msg, CallHead)]
                assert [head.status for head in heads] == [framing.status], where
                assert relayed_body(posted) == received, where
                assert ended.outcome.ok, where
            elif ended.outcome.ok:
                # A reset may hide the last bytes of a whole answer, but never the reverse.
                assert framing.sized, where
                assert received == BODY, where
            else:
                assert ended.outcome.ran is ExecutionStatus.UNKNOWN, where
