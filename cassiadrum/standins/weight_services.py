"""Stand-in for the rate-limited weight store of the platform."""

import asyncio
from urllib.parse import parse_qs, unquote

import msgspec

from cassiadrum.protocols import Exchange, HttpRequest
from cassiadrum.standins.answers import Answer
from cassiadrum.standins.standins import StandIn

__all__ = ["WeightService"]

CHUNK_BYTES = 16 * 1024


class WeightService(StandIn):
    """Stand-in that serves weights of a given size; all downloads share `bytes_per_s`."""

    def __init__(self, bytes_per_s: float = 100e6) -> None:
        super().__init__()
        self.bytes_per_s = bytes_per_s
        self.sizes: dict[str, int] = {}
        self._next_send_s = 0.0

    def answer(self, req: HttpRequest) -> Answer:
        """Return the size of weights, or set it by PUT with {"bytes": N}."""
        parts = [unquote(part) for part in req.path.split("/")[1:]]
        match (req.method, parts):
            case ("GET", ["weights", name, "size"]) if name in self.sizes:
                return Answer.from_object(200, {"bytes": self.sizes[name]})
            case ("PUT", ["weights", name]):
                try:
                    raw = msgspec.json.decode(req.body, type=dict[str, int])
                    self.sizes[name] = raw["bytes"]
                except (msgspec.MsgspecError, KeyError) as exc:
                    return Answer.from_object(400, {"error": str(exc)})
                return Answer.from_object(200, {})
        return Answer.from_object(404, {"error": "not found"})

    async def send(self, exchange: Exchange) -> None:
        """Stream a download; answer any other request as the base class does."""
        parts = [unquote(part) for part in exchange.req.path.split("/")[1:]]
        name = parts[-1]
        if exchange.req.method != "GET" or len(parts) != 2 or name not in self.sizes:
            await super().send(exchange)
            return
        offset = int(parse_qs(exchange.req.query).get("offset", ["0"])[0])
        await self._stream(exchange, max(0, self.sizes[name] - offset))

    async def _stream(self, exchange: Exchange, remaining_bytes: int) -> None:
        await exchange.send_head(200, (("content-length", str(remaining_bytes)),))
        while remaining_bytes and not exchange.disconnected.is_set():
            size = min(remaining_bytes, CHUNK_BYTES)
            await self._limit_rate(size)
            if self.faults.drop_answers > 0:
                self.faults = self.faults._replace(drop_answers=self.faults.drop_answers - 1)
                exchange.abort()
                return
            await exchange.send_data(bytes(size))
            remaining_bytes -= size
        if not exchange.disconnected.is_set():
            await exchange.end()

    async def _limit_rate(self, size: int) -> None:
        now = self.now()
        self._next_send_s = max(now, self._next_send_s) + size / self.bytes_per_s
        await asyncio.sleep(self._next_send_s - now)


if __name__ == "__main__":
    WeightService.main()
