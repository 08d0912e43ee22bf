"""A TCP proxy that injects faults."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

__all__ = ["FaultProxy", "Way"]

READ_BYTES = 64 * 1024
HOST = "127.0.0.1"


class Way(Enum):
    """Direction of bytes through the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


BOTH = (Way.TO_SERVER, Way.TO_CLIENT)


class _Pipe:
    """One proxied connection; `silent` and `half` hold the ways with that fault."""

    def __init__(self, streams: dict[Way, tuple[asyncio.StreamReader, asyncio.StreamWriter]]):
        self.streams = streams
        self.silent: set[Way] = set()
        self.half: set[Way] = set()
        self.ended = asyncio.Event()

    def close(self, *, reset: bool = False) -> None:
        for _, writer in self.streams.values():
            sock = writer.get_extra_info("socket")
            if reset and sock is not None:
                with contextlib.suppress(OSError):
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self.ended.set()


class FaultProxy:
    """Forward connections to `target` (HOST:PORT), which may be changed for new connections.

    `delay_s` is added to each read and `bytes_per_s` limits each way (0 for no limit); both apply
    to all connections. While `partitioned`, new connections are accepted but carry nothing.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.partitioned = False
        self.accepted = 0
        self._flow = {way: asyncio.Event() for way in BOTH}
        for event in self._flow.values():
            event.set()
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Cut all connections and stop."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open_connections(self) -> int:
        """Return the number of connections through the proxy."""
        return len(self._pipes)

    def cut(self, *, reset: bool = False) -> None:
        """End every connection; `reset` sends RST to both ends."""
        for pipe in list(self._pipes):
            pipe.close(reset=reset)

    def silence(self, *ways: Way) -> None:
        """Drop all further bytes of the open connections; new connections work."""
        for pipe in self._pipes:
            pipe.silent.update(ways or BOTH)

    def half_frame(self, way: Way) -> None:
        """Pass half of the next read of each open connection, then nothing more."""
        for pipe in self._pipes:
            pipe.half.add(way)

    def hold(self, *ways: Way) -> None:
        """Keep bytes back until `release`."""
        for way in ways or BOTH:
            self._flow[way].clear()

    def release(self) -> None:
        """Pass on what was held."""
        for event in self._flow.values():
            event.set()

    def partition(self) -> None:
        """Let nothing through on open and new connections."""
        self.partitioned = True
        self.silence()

    def heal(self) -> None:
        """Let new connections through again."""
        self.partitioned = False
        self.cut()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.accepted += 1
        try:
            await self._serve(reader, writer)
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # `close` ends the task; asyncio's own callback would log the cancellation.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        pipe = _Pipe(
            {Way.TO_SERVER: (reader, server_writer), Way.TO_CLIENT: (server_reader, writer)}
        )
        if self.partitioned:
            pipe.silent.update(BOTH)
        self._pipes.add(pipe)
        pumps = [asyncio.create_task(self._pump(pipe, way)) for way in BOTH]
        try:
            await pipe.ended.wait()
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._pipes.discard(pipe)
            pipe.close()

    async def _pump(self, pipe: _Pipe, way: Way) -> None:
        reader, writer = pipe.streams[way]
        try:
            while data := await reader.read(READ_BYTES):
                await self._forward(pipe, way, data, writer)
            if way not in pipe.silent:
                await self._end(writer, pipe, way)
        except OSError:
            if not pipe.silent:
                pipe.close()

    async def _forward(
        self, pipe: _Pipe, way: Way, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.bytes_per_s:
            await asyncio.sleep(len(data) / self.bytes_per_s)
        await self._flow[way].wait()
        if way in pipe.silent:
            return
        if way in pipe.half:
            pipe.silent.add(way)
            data = data[: max(1, len(data) // 2)]
        writer.write(data)
        await writer.drain()

    async def _end(self, writer: asyncio.StreamWriter, pipe: _Pipe, way: Way) -> None:
        """Pass the end of one way on; the connection ends with its second way."""
        other = Way.TO_CLIENT if way is Way.TO_SERVER else Way.TO_SERVER
        if writer.can_write_eof():
            writer.write_eof()
        if pipe.streams[other][0].at_eof() or way is Way.TO_CLIENT:
            await writer.drain()
            writer.close()
            pipe.ended.set()
