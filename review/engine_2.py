"""One endpoint as a process of its own, which can be killed: INSTANCE ZONE SLOTS.

Its answers take some seconds and have no length, as the platform allows it: they end with their
connection. It prints its address, and each request that it runs and answers in full.
"""

import asyncio
import sys

from support_2 import Endpoint, Request

PIECES = 32
PIECE_S = 0.125


def piece(request_id: str, number: int) -> bytes:
    """Return one of the pieces of an answer."""
    return f"{request_id} {number:02d} of {PIECES}\n".encode()


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return b"".join(piece(request_id, number) for number in range(PIECES))


async def work(endpoint: Endpoint, req: Request, writer: asyncio.StreamWriter) -> bool:
    """Answer with all pieces, then close the connection."""
    print(f"ran {req.request_id}", flush=True)
    head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n"
    lines = endpoint.signed(req).items()
    writer.write((head + "".join(f"{name}: {value}\r\n" for name, value in lines)).encode())
    writer.write(b"\r\n")
    for number in range(PIECES):
        writer.write(piece(req.request_id, number))
        await writer.drain()
        await asyncio.sleep(PIECE_S)
    print(f"ended {req.request_id}", flush=True)
    return False


async def serve() -> None:
    """Serve until the process ends; a line of the input says that the endpoint leaves."""
    endpoint = Endpoint(sys.argv[1], "orders", sys.argv[2], int(sys.argv[3]), work)
    await endpoint.start()
    print(f"at {endpoint.host} {endpoint.port} {endpoint.born}", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    endpoint.leaving = True
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve())
