"""What engines and plain services have in common on the HTTP wire."""

from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoints import Endpoint
from cassiadrum.endpoints.errors import EndpointLost, EndpointUnreachable
from cassiadrum.protocols import (
    AnswerLost,
    BadMessage,
    ConnectFailed,
    Headers,
    HttpClient,
    HttpResponse,
)

__all__ = ["HttpEndpoint"]


class HttpEndpoint(Endpoint):
    """Send calls by HTTP/1.1 to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._client = HttpClient(host, port)

    async def call(self, call: EndpointCall) -> HttpResponse:
        """Forward the call unchanged but for its id and key."""
        return await self._send(call, call.body)

    async def _send(self, call: EndpointCall, body: bytes) -> HttpResponse:
        headers: Headers = (*call.headers, ("x-request-id", call.call_id))
        if call.key:
            headers = (*headers, ("idempotency-key", call.key))
        try:
            # A call that cannot be repeated must not be lost to a connection closed while idle.
            return await self._client.request(
                call.method, call.target, headers, body, new_connection=not call.repeatable
            )
        except ConnectFailed as exc:
            raise EndpointUnreachable(str(exc)) from exc
        except (AnswerLost, BadMessage) as exc:
            raise EndpointLost(str(exc)) from exc

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
