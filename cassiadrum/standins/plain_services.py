"""Stand-in for a plain service, such as one for orders, invoices or permits."""

import asyncio
import json
import time

from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.standins.run_records import RunRecord
from cassiadrum.standins.standins import run_standin

__all__ = ["PlainServiceStandIn"]


class PlainServiceStandIn:
    """Stand-in that records each call and answers it after `service_s` seconds.

    POST /faults sets `service_s` and `drop_answers`, the number of calls that are executed from
    now on without an answer.
    """

    def __init__(self, *, service_s: float = 0.01) -> None:
        self.runs: list[RunRecord] = []
        self._service_s = service_s
        self._drop_answers = 0
        self._server = HttpServer(self._handle)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen and return the bound port."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Abort all connections and stop."""
        await self._server.abort()

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.req
        if req.method == "GET" and req.path == "/runs":
            await exchange.send_json(200, {"runs": self.runs})
        elif req.method == "POST" and req.path == "/faults":
            faults = json.loads(req.body)
            self._drop_answers = int(faults.get("drop_answers", 0))
            self._service_s = float(faults.get("service_s", self._service_s))
            await exchange.send_json(200, {"ok": True})
        else:
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        req = exchange.req
        run = RunRecord(
            request_id=req.header("x-request-id"),
            method=req.method,
            target=req.target,
            key=req.header("idempotency-key"),
            started=time.time(),
            ended=0.0,
            tokens=0,
            completed=False,
        )
        self.runs.append(run)
        number = len(self.runs)
        await asyncio.sleep(self._service_s)
        run["ended"] = time.time()
        run["completed"] = True
        if self._drop_answers > 0:
            self._drop_answers -= 1
            exchange.abort()
            return
        status = 200 if req.method == "GET" else 201
        answer = {"target": req.target, "body": req.body.decode("utf-8", "replace")}
        await exchange.send_json(status, {**answer, "number": number})


if __name__ == "__main__":
    run_standin(PlainServiceStandIn, PlainServiceStandIn.__doc__)
