"""Load generators with little overhead: fixed requests over persistent connections."""

import asyncio
import random
import re
import time
from typing import NamedTuple

READ_BYTES = 65536
LENGTH = re.compile(rb"content-length: ([0-9]+)", re.IGNORECASE)
END_OF_CHUNKS = b"0\r\n\r\n"


class Timing(NamedTuple):
    """Seconds from the request to the first bytes of the body and to the end of the answer."""

    first_s: float
    total_s: float


class RequestTemplate(NamedTuple):
    """A fixed request; `tokens` is the number of tokens of its answer."""

    name: str
    method: str
    target: str
    body: bytes
    tokens: int
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, prefix: str) -> bytes:
        """Return the HTTP/1.1 request, with `prefix` before its path."""
        head = f"{self.method} {prefix}{self.target} HTTP/1.1\r\nhost: bench\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in self.headers)
        head += f"content-type: application/json\r\ncontent-length: {len(self.body)}\r\n\r\n"
        return head.encode() + self.body


class LoadGenerator:
    """Sends the same request repeatedly to one address."""

    def __init__(self, address: str, request: bytes) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._request = request
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def closed_loop(self, connections: int, duration_s: float) -> list[Timing]:
        """Keep `connections` requests in flight for `duration_s` and return their timings."""
        end_s = time.monotonic() + duration_s
        found: list[Timing] = []

        async def repeat() -> None:
            while time.monotonic() < end_s:
                found.append(await self._call())

        await asyncio.gather(*(repeat() for _ in range(connections)))
        return found

    async def open_loop(self, rate_per_s: float, duration_s: float, seed: int) -> list[Timing]:
        """Send Poisson arrivals at a mean rate, independent of answers, and return the timings."""
        rng, found, tasks = random.Random(seed), list[Timing](), list[asyncio.Task[None]]()

        async def once() -> None:
            found.append(await self._call())

        started_s, at_s = time.monotonic(), 0.0
        while (at_s := at_s + rng.expovariate(rate_per_s)) < duration_s:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            tasks.append(asyncio.create_task(once()))
        await asyncio.gather(*tasks)
        return found

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()

    async def _call(self) -> Timing:
        stream = self._idle.pop() if self._idle else await self._connect()
        reader, writer = stream
        started_s = time.monotonic()
        writer.write(self._request)
        head, _, body = (await reader.readuntil(b"\r\n\r\n")).partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"answer without status 200: {head[:200]!r}")
        length = LENGTH.search(head)
        first_s = 0.0
        while not _is_complete(body, int(length[1]) if length else None):
            data = await reader.read(READ_BYTES)
            if not data:
                raise RuntimeError("connection closed before the end of the answer")
            first_s = first_s or time.monotonic() - started_s
            # Of a chunked answer only the last bytes are kept, to detect the final chunk.
            body = body + data if length else (body + data)[-len(END_OF_CHUNKS) :]
        self._idle.append(stream)
        return Timing(first_s, time.monotonic() - started_s)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self._host, self._port)


def _is_complete(body: bytes, length: int | None) -> bool:
    return len(body) >= length if length is not None else body.endswith(END_OF_CHUNKS)
