"""Base class of the stand-ins, with server, faults and command line."""

import argparse
import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

import msgspec

from cassiadrum.protocols import Exchange, HttpRequest, HttpServer
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.faults import Faults

__all__ = ["StandIn", "run_standin"]

BODY_LIMIT_BYTES = 64 * 1024 * 1024
RATE_WINDOW_S = 1.0


class Runnable(Protocol):
    """A server that `run_standin` can run."""

    async def start(self, host: str = ..., port: int = ...) -> int:
        """Listen and return the bound port."""


class StandIn(ABC):
    """A platform service in memory; `POST /faults` replaces its faults."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._server = HttpServer(self._handle, body_limit_bytes=BODY_LIMIT_BYTES)
        self._window_started_s = 0.0
        self._window_requests = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the port, which the system chooses when `port` is 0."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        await self._server.abort()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in effect."""
        self.faults = faults

    @abstractmethod
    def answer(self, req: HttpRequest) -> Answer:
        """Apply a request and return its answer."""

    async def send(self, exchange: Exchange) -> None:
        """Apply a request and send its answer; subclasses may stream it."""
        answer = self.answer(exchange.req)
        if exchange.req.method != "GET" and self.faults.drop_answers > 0:
            self.faults = self.faults._replace(drop_answers=self.faults.drop_answers - 1)
            exchange.abort()
            return
        await exchange.send(answer.status, answer.body, answer.content_type, answer.headers)

    @classmethod
    def main(cls) -> None:
        """Run the stand-in from the command line until interrupted."""
        run_standin(cls, cls.__doc__)

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.req.path == "/faults":
            await self._change_faults(exchange)
            return
        if self._is_rate_limited():
            retry = (("retry-after", "1"),)
            await exchange.send_json(429, {"error": "rate limit"}, retry)
            return
        if self.faults.slow_s > 0:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.down:
            await exchange.send_json(503, {"error": "down"})
            return
        await self.send(exchange)

    async def _change_faults(self, exchange: Exchange) -> None:
        if exchange.req.method == "POST":
            try:
                raw = msgspec.json.decode(exchange.req.body, type=dict[str, object])
                ordered = [raw.get(key, default) for key, default in Faults()._asdict().items()]
                self.set_faults(msgspec.convert(ordered, Faults))
            except msgspec.MsgspecError as exc:
                await exchange.send_json(400, {"error": str(exc)})
                return
        await exchange.send_json(200, self.faults._asdict())

    def _is_rate_limited(self) -> bool:
        limit = self.faults.limit_per_s
        now = self.now()
        if now - self._window_started_s >= RATE_WINDOW_S:
            self._window_started_s = now
            self._window_requests = 0
        self._window_requests += 1
        return limit > 0 and self._window_requests > limit * RATE_WINDOW_S

    @staticmethod
    def now() -> float:
        """Return the monotonic time of the running loop in seconds."""
        return asyncio.get_running_loop().time()


def run_standin(build: Callable[[], Runnable], description: str | None) -> None:
    """Run a stand-in on the address from the command line; print the address as a JSON line."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    asyncio.run(_serve(build, options.host, options.port))


async def _serve(build: Callable[[], Runnable], host: str, port: int) -> None:
    standin = build()
    bound = await standin.start(host, port)
    print(json.dumps({"address": f"{host}:{bound}"}), flush=True)
    await asyncio.Event().wait()
