"""Minimal h11 relay, the baseline for the cost of a request.

It reads a request, sends it to one address over a persistent connection and forwards the answer
chunk by chunk. It has no queue, no limits, no retries, no second process and no events.
"""

import argparse
import asyncio
import json
from collections import deque

import h11

READ_BYTES = 65536
RECOMPUTED_HEADERS = {b"host", b"connection", b"transfer-encoding", b"content-length"}
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Relay:
    """Forwards requests to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._idle: deque[Stream] = deque()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one caller's connection."""
        caller = h11.Connection(h11.SERVER)
        while True:
            request, body = None, b""
            while type(event := await next_event(caller, reader)) is not h11.EndOfMessage:
                if type(event) is h11.Request:
                    request = event
                elif type(event) is h11.Data:
                    body += event.data
                else:
                    writer.close()
                    return
            assert request is not None
            await self._forward(request, body, caller, writer)
            if caller.our_state is not h11.DONE or caller.their_state is not h11.DONE:
                writer.close()
                return
            caller.start_next_cycle()

    async def _forward(
        self,
        request: h11.Request,
        body: bytes,
        caller: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        stream = self._idle.pop() if self._idle else await asyncio.open_connection(*self._address)
        upstream = h11.Connection(h11.CLIENT)
        headers = [
            (name, value) for name, value in request.headers if name not in RECOMPUTED_HEADERS
        ]
        headers += [(b"host", b"engine"), (b"content-length", str(len(body)).encode())]
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = (upstream.send(head) or b"") + (upstream.send(h11.Data(data=body)) or b"")
        stream[1].write(data + (upstream.send(h11.EndOfMessage()) or b""))
        while True:
            event = await next_event(upstream, stream[0])
            if type(event) is h11.Response:
                event = h11.Response(status_code=event.status_code, headers=event.headers)
            assert isinstance(event, h11.Event)
            writer.write(caller.send(event) or b"")
            await writer.drain()
            if type(event) is h11.EndOfMessage:
                break
        self._idle.append(stream)


async def next_event(conn: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the next event of a connection, reading more data as needed."""
    while (event := conn.next_event()) is h11.NEED_DATA:
        conn.receive_data(await reader.read(READ_BYTES))
    return event


async def main() -> None:
    """Print the address and serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True)
    host, _, port = parser.parse_args().target.rpartition(":")
    relay = Relay(host, int(port))
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0, backlog=1024)
    address = server.sockets[0].getsockname()
    print(json.dumps({"http": f"127.0.0.1:{address[1]}"}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
