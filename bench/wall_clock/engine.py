"""Stub engine: paced tokens for streams, immediate answers for plain calls."""

import argparse
import asyncio
import json

from cassiadrum.protocols import Exchange, HttpServer

PLAIN = b'{"permit": "issued", "number": 7}'
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'


class Engine:
    """Sends each running stream one token per step, as continuous batching does."""

    def __init__(self, step_s: float) -> None:
        self._step_s = step_s
        self._step = asyncio.Event()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await asyncio.sleep(self._step_s)
            self._step.set()
            self._step = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Answer a load report request, a completion or a plain call."""
        req = exchange.req
        if req.path == "/load":
            load = {"running": 0, "waiting": 0, "tokens_per_s": 0.0}
            await exchange.send_json(200, {**load, "models": [], "adapters": [], "cached": []})
        elif req.method == "POST":
            await self._stream(exchange, int(json.loads(req.body)["max_tokens"]))
        else:
            await exchange.send(200, PLAIN, "application/json")

    async def _stream(self, exchange: Exchange, tokens: int) -> None:
        await exchange.send_head(200, (("content-type", "text/event-stream"),))
        for _ in range(tokens):
            await self._step.wait()
            await exchange.send_data(TOKEN)
        await exchange.send_data(b"data: [DONE]\n\n")
        await exchange.end()


async def main() -> None:
    """Print the address and serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--step-s", type=float, default=0.005)
    engine = Engine(parser.parse_args().step_s)
    stepping = asyncio.create_task(engine.run())
    port = await HttpServer(engine.handle).start("127.0.0.1", 0)
    print(json.dumps({"http": f"127.0.0.1:{port}"}), flush=True)
    await stepping


if __name__ == "__main__":
    asyncio.run(main())
