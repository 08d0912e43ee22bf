"""The task that carries out one call to the endpoint."""

import asyncio
from collections.abc import Callable

from cassiadrum.decisions import Outcome, Ran
from cassiadrum.endpoints import Endpoint, EndpointCall, EndpointLost, EndpointUnreachable
from cassiadrum.protocols import HttpError, HttpResponse
from cassiadrum.roles.sidecar_messages import CallData, CallEnded, CallHead, SidecarMessage
from cassiadrum.roles.sidecar_streams import SidecarStream

__all__ = ["EndpointCaller"]

SSE_EVENT = b"\n\n"


class EndpointCaller:
    """Call the endpoint for one stream and post its answer to the sidecar."""

    def __init__(self, endpoint: Endpoint, post: Callable[[SidecarMessage], None]) -> None:
        self._endpoint = endpoint
        self._post = post

    async def run(self, stream: SidecarStream) -> None:
        """Carry out the call; always post exactly one CallEnded."""
        attempt_id = stream.start.attempt_id
        outcome = Outcome(False, Ran.UNKNOWN, 0, "answer_lost")
        try:
            outcome = await self._call(stream)
        except EndpointUnreachable:
            outcome = Outcome(False, Ran.NO, 0, "endpoint_failed")
        except EndpointLost:
            outcome = Outcome(False, Ran.UNKNOWN, 0, "answer_lost")
        finally:
            if stream.cancelled:
                outcome = outcome._replace(ok=False, reason="cancelled")
            self._post(CallEnded(attempt_id, outcome))

    async def _call(self, stream: SidecarStream) -> Outcome:
        response = await self._endpoint.call(_to_call(stream))
        self._post(CallHead(stream.start.attempt_id, response.status, list(response.headers)))
        return await self._relay(stream, response)

    async def _relay(self, stream: SidecarStream, response: HttpResponse) -> Outcome:
        tokens = 0
        try:
            async for data in response.body:
                tokens += data.count(SSE_EVENT)
                self._post(CallData(stream.start.attempt_id, data))
                await asyncio.sleep(0)
                await stream.room.wait()
        except HttpError:
            return Outcome(False, Ran.UNKNOWN, tokens, "answer_lost")
        return Outcome(True, Ran.YES, tokens)


def _to_call(stream: SidecarStream) -> EndpointCall:
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
    )
