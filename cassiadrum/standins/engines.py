"""Stand-in for a model engine with an OpenAI-compatible completion interface."""

import asyncio
import contextlib
import json
import time
from typing import Any

from cassiadrum.decisions.prefix_keys import prefix_keys
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.standins.answer_texts import answer_tokens
from cassiadrum.standins.engine_batches import EngineBatch
from cassiadrum.standins.engine_streams import EngineStream
from cassiadrum.standins.run_records import RunRecord
from cassiadrum.standins.standins import run_standin

__all__ = ["EngineStandIn"]

PREFILL_STEPS = 3
RESTART_S = 0.3


class EngineStandIn:
    """Stand-in of a model engine: completions, load reports, control requests, orders and runs.

    `step_s` is the time in seconds of a step with one stream. With `enforces_fencing` the engine
    rejects orders with an old fencing number. POST /faults sets `slow_factor`, `stalled` and
    `crash_after_tokens` (the next stream to reach that many tokens loses its connection). While
    `harmful_text` is set, the engine ends as it begins the answer to a prompt with that text, and
    starts again RESTART_S later.
    """

    def __init__(
        self,
        *,
        max_batch: int = 8,
        step_s: float = 0.005,
        models: tuple[str, ...] = (),
        enforces_fencing: bool = False,
        version: str = "v1",
    ) -> None:
        # Version of the software, which load reports state.
        self.version = version
        self.runs: list[RunRecord] = []
        self.batch = EngineBatch(max_batch=max_batch, step_s=step_s)
        self._models = list(models)
        self._adapters: list[str] = []
        self._enforces_fencing = enforces_fencing
        self._fencing = 0
        self._crash_after_tokens = 0
        self.harmful_text = ""
        # Times at which the engine ended, in monotonic seconds.
        self.crashes_s: list[float] = []
        self._address = ("", 0)
        self._restart: asyncio.Task[None] | None = None
        self._new_prefixes: list[int] = []
        self._server = HttpServer(self._handle)
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the bound port."""
        self._task = asyncio.create_task(self.batch.run())
        self._address = host, await self._server.start(host, port)
        return self._address[1]

    async def close(self) -> None:
        """Abort all connections and stop."""
        if self._restart is not None:
            self._restart.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._restart
        await self._server.abort()
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.method == "GET" and req.path == "/load":
            await exchange.send_json(200, self._load_report())
        elif req.method == "GET" and req.path == "/runs":
            await exchange.send_json(200, {"runs": self.runs})
        elif req.method == "POST" and req.path.startswith("/control/"):
            await self._control(exchange, req.path.removeprefix("/control/"))
        elif req.method == "POST" and req.path == "/orders":
            await self._order(exchange)
        elif req.method == "POST" and req.path == "/faults":
            await self._set_faults(exchange)
        elif req.method == "POST" and req.path in ("/v1/chat/completions", "/v1/completions"):
            await self._complete(exchange)
        else:
            await exchange.send_json(404, {"error": {"message": "not found"}})

    def _crash(self) -> None:
        """End the process: all connections break, and the address refuses new ones for a time."""
        if self._restart is None or self._restart.done():
            self.crashes_s.append(time.monotonic())
            self._restart = asyncio.create_task(self._end_and_start())

    async def _end_and_start(self) -> None:
        await self._server.abort()
        for stream in self.batch.streams.values():
            stream.cancel()
        self.batch.streams.clear()
        await asyncio.sleep(RESTART_S)
        self._server = HttpServer(self._handle)
        await self._server.start(*self._address)

    def _load_report(self) -> dict[str, Any]:
        running = len(self.batch.active())
        cached, self._new_prefixes = self._new_prefixes, []
        return {
            "running": running,
            "waiting": len(self.batch.streams) - running,
            "tokens_per_s": running / (self.batch.step_s * self.batch.slow_factor),
            "models": self._models,
            "adapters": self._adapters,
            "cached": cached,
            "version": self.version,
        }

    async def _control(self, exchange: Exchange, action: str) -> None:
        request_id = json.loads(exchange.req.body)["request_id"]
        stream = self.batch.streams.get(request_id)
        if stream is not None and action == "cancel":
            stream.cancel()
            self.batch.streams.pop(request_id)
        elif stream is not None:
            stream.paused = action == "pause"
        await exchange.send_json(200, {"ok": stream is not None})

    async def _order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.req.body)
        if self._enforces_fencing and order["fencing"] < self._fencing:
            await exchange.send_json(409, {"ok": False, "reason": "old fencing number"})
            return
        self._fencing = max(self._fencing, order["fencing"])
        if order["action"] == "load_model" and order["subject"] not in self._models:
            self._models.append(order["subject"])
        if order["action"] == "load_adapter" and order["subject"] not in self._adapters:
            self._adapters.append(order["subject"])
        await exchange.send_json(200, {"ok": True, "reason": ""})

    async def _set_faults(self, exchange: Exchange) -> None:
        faults = json.loads(exchange.req.body)
        self.batch.slow_factor = float(faults.get("slow_factor", 1.0))
        self.batch.stalled = bool(faults.get("stalled", False))
        self._crash_after_tokens = int(faults.get("crash_after_tokens", 0))
        self.harmful_text = str(faults.get("harmful_text", ""))
        await exchange.send_json(200, {"ok": True})

    async def _complete(self, exchange: Exchange) -> None:
        body = json.loads(exchange.req.body)
        stream = self._open_stream(exchange, body)
        try:
            if self.harmful_text and self.harmful_text in extract_prompt(body):
                await stream.output.get()
                self._crash()
                await exchange.disconnected.wait()
            elif body.get("stream"):
                await self._send_stream(exchange, stream)
            else:
                await self._send_whole(exchange, stream)
        finally:
            self.batch.streams.pop(stream.request_id, None)
            stream.run["ended"] = time.time()

    def _open_stream(self, exchange: Exchange, body: dict[str, Any]) -> EngineStream:
        prompt = extract_prompt(body)
        request_id = exchange.req.header("x-request-id") or f"direct-{len(self.runs)}"
        run = RunRecord(
            request_id=request_id,
            method=exchange.req.method,
            target=exchange.req.target,
            key=exchange.req.header("idempotency-key"),
            started=time.time(),
            ended=0.0,
            tokens=0,
            completed=False,
        )
        self.runs.append(run)
        keys = prefix_keys(prompt)
        cached = [self.batch.cache_prefix(key) for key in keys][-1]
        self._new_prefixes += keys
        stream = EngineStream(
            request_id,
            int(body.get("priority", 0)),
            answer_tokens(prompt, int(body.get("max_tokens", 0))),
            int(body.get("continue_from", 0)),
            1 if cached else PREFILL_STEPS,
            run,
        )
        if stream.done:
            stream.output.put_nowait(None)
        else:
            self.batch.add(stream)
        return stream

    async def _send_stream(self, exchange: Exchange, stream: EngineStream) -> None:
        await exchange.send_head(200, (("content-type", "text/event-stream"),))
        while (token := await self._next_token(exchange, stream)) is not None:
            delta = {"choices": [{"index": 0, "delta": {"content": token}}]}
            await exchange.send_data(f"data: {json.dumps(delta)}\n\n".encode())
        if stream.cancelled or exchange.ended:
            exchange.abort()
            return
        await exchange.send_data(b"data: [DONE]\n\n")
        await exchange.end()
        stream.run["completed"] = True

    async def _send_whole(self, exchange: Exchange, stream: EngineStream) -> None:
        tokens = []
        while (token := await self._next_token(exchange, stream)) is not None:
            tokens.append(token)
        if stream.cancelled or exchange.ended:
            exchange.abort()
            return
        message = {"role": "assistant", "content": "".join(tokens)}
        usage = {"completion_tokens": len(tokens)}
        body = {"choices": [{"index": 0, "message": message}], "usage": usage}
        await exchange.send_json(200, body)
        stream.run["completed"] = True

    async def _next_token(self, exchange: Exchange, stream: EngineStream) -> str | None:
        """Return the next token, or None at the end, once cancelled or without a caller."""
        token = await stream.output.get()
        if token is not None and exchange.disconnected.is_set():
            stream.cancel()
            return None
        if self._crash_after_tokens and stream.run["tokens"] >= self._crash_after_tokens:
            self._crash_after_tokens = 0
            exchange.abort()
            return None
        return token


def extract_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a chat or text completion request as one string."""
    if "messages" in body:
        return "\n".join(str(message.get("content", "")) for message in body["messages"])
    return str(body.get("prompt", ""))


if __name__ == "__main__":
    run_standin(EngineStandIn, EngineStandIn.__doc__)
