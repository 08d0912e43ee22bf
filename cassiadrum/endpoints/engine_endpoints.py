"""Client of model engines: OpenAI-style completions and a control interface."""

from typing import Any

import msgspec

from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoint_loads import EndpointLoad
from cassiadrum.endpoints.errors import EndpointResponseLost, EndpointUnreachable
from cassiadrum.endpoints.http_endpoints import LOAD_PATH, HttpEndpoint
from cassiadrum.protocols import ConnectFailed, HttpError, HttpResponse, TransferTimeout

__all__ = ["EngineEndpoint"]


# Bounds the memory of a report that does not end.
MAX_ANSWER_BYTES = 1024 * 1024


class EngineEndpoint(HttpEndpoint):
    """A model engine, whose running streams can be controlled."""

    can_pause = True

    async def call(self, call: EndpointCall) -> HttpResponse:
        """Forward a completion with its priority and the position to continue from."""
        if call.method != "POST" or not call.body:
            return await self._send(call, call.body)
        body: dict[str, Any] = msgspec.json.decode(call.body)
        body["priority"] = call.tier
        if call.delivered_events:
            body["continue_from"] = call.delivered_events
        return await self._send(call, msgspec.json.encode(body))

    async def cancel(self, call_id: str) -> None:
        """Stop the computation of an answer that nobody receives."""
        await self._control("cancel", {"request_id": call_id})

    async def pause(self, call_id: str) -> None:
        """Pause a running stream; the engine keeps its KV cache."""
        await self._control("pause", {"request_id": call_id})

    async def resume(self, call_id: str) -> None:
        """Resume a paused stream."""
        await self._control("resume", {"request_id": call_id})

    async def load(self) -> EndpointLoad:
        """Return the engine's load report."""
        response = {"version": "", **await self._exchange("GET", LOAD_PATH, b"")}
        try:
            return msgspec.convert([response[name] for name in EndpointLoad._fields], EndpointLoad)
        except (msgspec.ValidationError, KeyError) as exc:
            raise EndpointResponseLost(f"invalid load report: {exc}") from exc

    async def order(self, action: str, subject: str, fencing: int) -> tuple[bool, str]:
        """Execute an order; the engine answers 409 if it has seen a higher fencing number."""
        order = {"action": action, "subject": subject, "fencing": fencing}
        reply = await self._exchange("POST", "/orders", msgspec.json.encode(order))
        return bool(reply.get("ok")), str(reply.get("reason", ""))

    async def _control(self, action: str, body: dict[str, Any]) -> None:
        await self._exchange("POST", f"/control/{action}", msgspec.json.encode(body))

    async def _exchange(self, method: str, target: str, body: bytes) -> dict[str, Any]:
        try:
            async with TransferTimeout(LIMITS.STORE_TIMEOUT_S, LIMITS.STORE_TIMEOUT_S) as limit:
                response = await self._client.request(method, target, (), body)
                return msgspec.json.decode(
                    await limit.read(response, MAX_ANSWER_BYTES), type=dict[str, Any]
                )
        except ConnectFailed as exc:
            raise EndpointUnreachable(str(exc)) from exc
        except (HttpError, TimeoutError, msgspec.DecodeError, RecursionError) as exc:
            raise EndpointResponseLost(str(exc)) from exc
