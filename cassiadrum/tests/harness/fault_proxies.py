"""TCP proxy that injects faults."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

__all__ = ["Direction", "FaultProxy"]

READ_BYTES = 64 * 1024
HOST = "127.0.0.1"


class Direction(Enum):
    """Direction in which bytes pass through the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


BOTH = (Direction.TO_SERVER, Direction.TO_CLIENT)


class _ProxiedConnection:
    """One proxied connection; `silent` and `truncating` are the directions with that fault."""

    def __init__(
        self, streams: dict[Direction, tuple[asyncio.StreamReader, asyncio.StreamWriter]]
    ):
        self.streams = streams
        self.silent: set[Direction] = set()
        self.truncating: set[Direction] = set()
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

    `delay_s` is added to each read and `bytes_per_s` limits each direction (0 for no limit); both
    apply to all connections. While `partitioned`, new connections are accepted but carry no bytes.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.partitioned = False
        self.accepted_connections = 0
        self._released = {direction: asyncio.Event() for direction in BOTH}
        for event in self._released.values():
            event.set()
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Close all connections and stop."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections through the proxy."""
        return len(self._connections)

    def cut(self, *, reset: bool = False) -> None:
        """Close every connection; `reset` sends RST to both ends."""
        for conn in list(self._connections):
            conn.close(reset=reset)

    def silence(self, *directions: Direction) -> None:
        """Drop all further bytes of the open connections; new connections are not affected."""
        for conn in self._connections:
            conn.silent.update(directions or BOTH)

    def truncate_next_read(self, direction: Direction) -> None:
        """Forward half of the next read of each open connection and drop all further bytes."""
        for conn in self._connections:
            conn.truncating.add(direction)

    def hold(self, *directions: Direction) -> None:
        """Delay all bytes until `release`."""
        for direction in directions or BOTH:
            self._released[direction].clear()

    def release(self) -> None:
        """Forward the delayed bytes."""
        for event in self._released.values():
            event.set()

    def partition(self) -> None:
        """Drop all bytes of open and new connections."""
        self.partitioned = True
        self.silence()

    def heal(self) -> None:
        """Close all connections; new ones are forwarded again."""
        self.partitioned = False
        self.cut()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.accepted_connections += 1
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
        conn = _ProxiedConnection(
            {
                Direction.TO_SERVER: (reader, server_writer),
                Direction.TO_CLIENT: (server_reader, writer),
            }
        )
        if self.partitioned:
            conn.silent.update(BOTH)
        self._connections.add(conn)
        relays = [asyncio.create_task(self._relay(conn, direction)) for direction in BOTH]
        try:
            await conn.ended.wait()
        finally:
            for relay in relays:
                relay.cancel()
            await asyncio.gather(*relays, return_exceptions=True)
            self._connections.discard(conn)
            conn.close()

    async def _relay(self, conn: _ProxiedConnection, direction: Direction) -> None:
        reader, writer = conn.streams[direction]
        try:
            while data := await reader.read(READ_BYTES):
                await self._forward(conn, direction, data, writer)
            if direction not in conn.silent:
                await self._relay_end(writer, conn, direction)
        except OSError:
            if not conn.silent:
                conn.close()

    async def _forward(
        self,
        conn: _ProxiedConnection,
        direction: Direction,
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.bytes_per_s:
            await asyncio.sleep(len(data) / self.bytes_per_s)
        await self._released[direction].wait()
        if direction in conn.silent:
            return
        if direction in conn.truncating:
            conn.silent.add(direction)
            data = data[: max(1, len(data) // 2)]
        writer.write(data)
        await writer.drain()

    async def _relay_end(
        self, writer: asyncio.StreamWriter, conn: _ProxiedConnection, direction: Direction
    ) -> None:
        """Forward the end of one direction; the connection ends once both have ended."""
        other = Direction.TO_CLIENT if direction is Direction.TO_SERVER else Direction.TO_SERVER
        if writer.can_write_eof():
            writer.write_eof()
        if conn.streams[other][0].at_eof() or direction is Direction.TO_CLIENT:
            await writer.drain()
            writer.close()
            conn.ended.set()
