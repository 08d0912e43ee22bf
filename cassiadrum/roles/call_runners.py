"""Calls to the endpoint on behalf of streams."""

import asyncio
import re
from collections.abc import Callable

from cassiadrum.decisions import ExecutionStatus, Outcome
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EndpointCall, EndpointResponseLost, EndpointUnreachable
from cassiadrum.protocols import HttpError, HttpResponse
from cassiadrum.roles.attempts import SSE_CONTENT_TYPE
from cassiadrum.roles.once_only_guards import OnceOnlyGuard, stored_headers
from cassiadrum.roles.sidecar_messages import (
    CallData,
    CallEnded,
    CallHead,
    CallStarted,
    SidecarMessage,
)
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.states import Claimed, KeptAnswer

__all__ = ["CallRunner"]

SSE_EVENT = b"\n\n"
# The forms of line ends in which a server may write the empty line after an event.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
SSE_DONE = b"data: [DONE]\n\n"
# Yielding to the event loop for each token would cost more than relaying the token.
YIELD_INTERVAL_BYTES = LIMITS.STREAM_BUFFER_BYTES // 16
# An answer that is not a stream has its `usage` object at the end of the body.
USAGE_TAIL_BYTES = 512
USAGE_PATTERN = re.compile(rb'"completion_tokens":\s*([0-9]{1,9})')


class CallRunner:
    """Runner of endpoint calls that posts the answer of each call to the sidecar.

    One runner serves all streams; each stream runs in a task of its own.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        once_only_guard: OnceOnlyGuard,
        post: Callable[[SidecarMessage], None],
    ) -> None:
        self._endpoint = endpoint
        self._once_only_guard = once_only_guard
        self._post = post

    async def run(self, stream: SidecarStream) -> None:
        """Make the call of a stream; exactly one CallEnded is posted in every case."""
        outcome = Outcome(False, ExecutionStatus.UNKNOWN, 0, "answer_lost")
        endpoint_ended = False
        try:
            if stream.start.once_only:
                outcome = await self._run_once(stream)
            else:
                outcome = await self._run(stream, None)
            if _is_lost(stream, outcome):
                endpoint_ended = await self._endpoint.has_ended()
        finally:
            if stream.cancelled:
                # A cancelled call raises instead of returning, but its tokens were computed.
                outcome = outcome._replace(ok=False, reason="cancelled", tokens=stream.tokens)
            self._post(CallEnded(stream.start.attempt_id, outcome, endpoint_ended))

    async def _run_once(self, stream: SidecarStream) -> Outcome:
        claim = await self._once_only_guard.claim(stream.start)
        if not isinstance(claim, Claimed):
            if claim.stored_answer is not None:
                self._send_stored(stream, claim.stored_answer)
            return claim.outcome
        body = bytearray()
        outcome = await self._run(stream, body)
        answer = None
        if outcome.ok and stream.call_head is not None:
            headers = stored_headers(tuple(stream.call_head.headers))
            complete = len(body) <= LIMITS.CLAIM_ANSWER_BYTES
            kept = bytes(body) if complete else b""
            answer = KeptAnswer(stream.call_head.status, headers, kept, complete)
        await self._once_only_guard.settle(stream.start, claim, outcome, answer)
        return outcome

    async def _run(self, stream: SidecarStream, body: bytearray | None) -> Outcome:
        """Call the endpoint; the answer is also collected in `body` unless that is None."""
        task = asyncio.current_task()
        try:
            return await self._call_endpoint(stream, body)
        except asyncio.CancelledError:
            # After the silence limit the task continues, since it still has to settle the claim.
            if not stream.silence_expired or task is None:
                raise
            task.uncancel()
            return Outcome(False, ExecutionStatus.UNKNOWN, stream.tokens, "answer_lost")

    async def _call_endpoint(self, stream: SidecarStream, body: bytearray | None) -> Outcome:
        self._post(CallStarted(stream.start.attempt_id))
        try:
            response = await self._endpoint.call(_endpoint_call(stream))
        except EndpointUnreachable:
            return Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "endpoint_failed")
        except EndpointResponseLost:
            return Outcome(False, ExecutionStatus.UNKNOWN, 0, "answer_lost")
        # Set here because the sidecar may handle the message only after the call has ended.
        stream.call_head = CallHead(
            stream.start.attempt_id, response.status, list(response.headers)
        )
        self._post(stream.call_head)
        return await self._relay(stream, response, body)

    async def _relay(
        self, stream: SidecarStream, response: HttpResponse, body: bytearray | None
    ) -> Outcome:
        tail, posted = b"", 0
        try:
            async for data in response.body:
                tail = (tail + data)[-USAGE_TAIL_BYTES:]
                stream.tokens += data.count(SSE_EVENT)
                if body is not None and len(body) <= LIMITS.CLAIM_ANSWER_BYTES:
                    body += data
                self._post(CallData(stream.start.attempt_id, data))
                posted += len(data)
                if posted >= YIELD_INTERVAL_BYTES:
                    # Lets the sidecar's task clear `buffer_has_space` when the buffer is full.
                    await asyncio.sleep(0)
                    posted = 0
                if not stream.buffer_has_space.is_set():
                    await stream.buffer_has_space.wait()
        except HttpError:
            return Outcome(False, ExecutionStatus.UNKNOWN, stream.tokens, "answer_lost")
        if _ends_inside_event(response, tail) or await self._ended_with_endpoint(response):
            return Outcome(False, ExecutionStatus.UNKNOWN, stream.tokens, "answer_lost")
        stream.tokens = _count_tokens(stream.tokens, tail)
        return Outcome(True, ExecutionStatus.EXECUTED, stream.tokens)

    async def _ended_with_endpoint(self, response: HttpResponse) -> bool:
        """Return whether an answer without a length may have ended since its endpoint did.

        An engine that crashes closes its connections like one that has sent its whole answer.
        """
        return not _is_framed(response) and not await self._endpoint.lives()

    def _send_stored(self, stream: SidecarStream, kept: KeptAnswer) -> None:
        attempt_id = stream.start.attempt_id
        self._post(CallHead(attempt_id, kept.status, list(kept.headers)))
        for start in range(0, len(kept.body), LIMITS.STREAM_BUFFER_BYTES):
            part = kept.body[start : start + LIMITS.STREAM_BUFFER_BYTES]
            self._post(CallData(attempt_id, part))


def _ends_inside_event(response: HttpResponse, tail: bytes) -> bool:
    """Return whether an event stream that ended with its connection was cut inside an event.

    An engine that crashes closes its connections like one that has finished, so only the last
    event shows that such a stream is incomplete.
    """
    streaming = response.header("content-type").startswith(SSE_CONTENT_TYPE)
    return streaming and not _is_framed(response) and bool(tail) and not tail.endswith(EVENT_ENDS)


def _is_framed(response: HttpResponse) -> bool:
    """Return whether an answer has a length or chunks."""
    return bool(response.header("content-length") or response.header("transfer-encoding"))


def _is_lost(stream: SidecarStream, outcome: Outcome) -> bool:
    """Return whether the endpoint lost a call."""
    lost = not outcome.ok and outcome.reason == "answer_lost"
    return lost and not (stream.cancelled or stream.silence_expired)


def _count_tokens(events: int, tail: bytes) -> int:
    """Return the tokens of a complete answer.

    Counts the content events of a stream; any other answer states them in its `usage` object.
    """
    if events:
        return events - tail.endswith(SSE_DONE)
    usage = USAGE_PATTERN.search(tail)
    return int(usage[1]) if usage else 0


def _endpoint_call(stream: SidecarStream) -> EndpointCall:
    start = stream.start
    return EndpointCall(
        start.attempt_id,
        start.method,
        start.target,
        tuple(start.headers),
        start.body,
        start.tier,
        start.key,
        start.delivered_events,
        start.idempotent,
    )
