"""HTTP client that engines and plain services share."""

import asyncio
import logging

from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoints import Endpoint
from cassiadrum.endpoints.errors import EndpointResponseLost, EndpointUnreachable
from cassiadrum.protocols import (
    AnswerLost,
    BadMessage,
    ConnectFailed,
    Headers,
    HttpClient,
    HttpResponse,
    ProcessState,
    check_process,
)

__all__ = ["LOAD_PATH", "HttpEndpoint"]

logger = logging.getLogger(__name__)

# The endpoint is beside its sidecar.
CHECK_TIMEOUT_S = 0.25
LIFE_CHECK_TIMEOUT_S = 0.5
# The path of a model engine's load report; a plain service answers as well, that it has none.
LOAD_PATH = "/load"


class HttpEndpoint(Endpoint):
    """An endpoint at one address that is called over HTTP/1.1."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)
        self._host = host
        self._port = port

    async def call(self, call: EndpointCall) -> HttpResponse:
        """Forward the call unchanged except for added request id and idempotency key headers."""
        return await self._send(call, call.body)

    async def _send(self, call: EndpointCall, body: bytes) -> HttpResponse:
        headers: Headers = (*call.headers, ("x-request-id", call.call_id))
        if call.key:
            headers = (*headers, ("idempotency-key", call.key))
        try:
            # On a connection that the server closed while idle, the call would be lost; one that
            # must not be repeated therefore gets a new connection.
            return await self._client.request(
                call.method, call.target, headers, body, new_connection=not call.repeatable
            )
        except ConnectFailed as exc:
            raise EndpointUnreachable(str(exc)) from exc
        except (AnswerLost, BadMessage) as exc:
            raise EndpointResponseLost(str(exc)) from exc

    async def has_ended(self) -> bool:
        """Return whether the endpoint's address refuses connections."""
        state = await check_process(self._host, self._port, CHECK_TIMEOUT_S)
        return state is ProcessState.ENDED

    async def lives(self) -> bool:
        """Return whether the endpoint answers a request for its load."""
        client = HttpClient(self._host, self._port, connect_timeout_s=CHECK_TIMEOUT_S)
        try:
            async with asyncio.timeout(LIFE_CHECK_TIMEOUT_S):
                await client.request("GET", LOAD_PATH)
        except (ConnectFailed, AnswerLost, BadMessage, TimeoutError) as exc:
            logger.info("endpoint does not answer after an answer's end: %s", exc or "no answer")
            return False
        finally:
            client.close()
        return True

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
