"""A network link of limited bandwidth that several connections share."""

import asyncio
import contextlib
import socket

__all__ = ["LinkProxy", "SlowLink"]

HOST = "127.0.0.1"
# Bytes of a connection that are on their way at a time; a sender waits for room beyond them.
WINDOW_BYTES = 64 * 1024
SEGMENT_BYTES = 1460
MEGABIT = 125_000


class SlowLink:
    """One direction of a link of `mbps` megabits per second, which passes bytes on in order.

    `carried` counts the bytes that the link was busy with, received or not.
    """

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * MEGABIT
        self.carried = 0
        self._free_s = 0.0

    def seconds(self, size: int) -> float:
        """Return the time that the link takes for a number of bytes."""
        return size / self.bytes_per_s

    def enqueue(self, size: int) -> float:
        """Return the time of the event loop at which bytes that arrive now have left the link."""
        now = asyncio.get_running_loop().time()
        self._free_s = max(now, self._free_s) + self.seconds(size)
        self.carried += size
        return self._free_s


class LinkProxy:
    """Forwards connections to a port; what the server sends passes over a link.

    `stall_after` lets each further connection fall silent after that many bytes of the server,
    and `reset_after` resets it.
    """

    def __init__(self, port: int, link: SlowLink) -> None:
        self.port = 0
        self.stall_after: int | None = None
        self.reset_after: int | None = None
        self.accepted = 0
        self._target_port = port
        self._link = link
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # Set while a connection passes on what the server sends, for each connection.
        self._passing: list[asyncio.Event] = []

    def stall(self) -> None:
        """Let the open connections pass on nothing more of what the server sends."""
        for event in self._passing:
            event.clear()

    def cut(self) -> None:
        """Close all connections."""
        for task in list(self._tasks):
            task.cancel()

    async def start(self) -> int:
        """Listen and return the port."""
        sock = _small_socket(socket.SO_SNDBUF, SEGMENT_BYTES)
        sock.bind((HOST, 0))
        self._server = await asyncio.start_server(self._accept, sock=sock)
        self.port = sock.getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.cut()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.accepted += 1
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            # `close` ends the task; asyncio's own callback would log the cancellation.
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = _small_socket(socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self._target_port))
        from_server, to_server = await asyncio.open_connection(sock=sock, limit=SEGMENT_BYTES)
        writer.transport.set_write_buffer_limits(SEGMENT_BYTES)
        relays = {
            asyncio.create_task(self._relay(reader, to_server)),
            asyncio.create_task(self._relay_over_link(from_server, writer)),
        }
        try:
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for relay in relays:
                relay.cancel()
            await asyncio.gather(*relays, return_exceptions=True)
            to_server.transport.abort()

    @staticmethod
    async def _relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(WINDOW_BYTES):
            writer.write(data)
            await writer.drain()

    async def _relay_over_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a server's bytes, with at most a window of them on the link."""
        passing = asyncio.Event()
        passing.set()
        self._passing.append(passing)
        stall_after, reset_after, sent = self.stall_after, self.reset_after, 0
        segments: asyncio.Queue[tuple[bytes, float]] = asyncio.Queue()
        window = asyncio.Semaphore(WINDOW_BYTES // SEGMENT_BYTES)
        sender = asyncio.create_task(self._deliver(segments, window, writer))
        try:
            while data := await reader.read(SEGMENT_BYTES):
                await passing.wait()
                await window.acquire()
                sent += len(data)
                if stall_after is not None and sent > stall_after:
                    await asyncio.Event().wait()
                if reset_after is not None and sent > reset_after:
                    return
                segments.put_nowait((data, self._link.enqueue(len(data))))
            await segments.join()
            with contextlib.suppress(OSError):
                await writer.drain()
        finally:
            sender.cancel()

    @staticmethod
    async def _deliver(
        segments: asyncio.Queue[tuple[bytes, float]],
        window: asyncio.Semaphore,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            data, left_s = await segments.get()
            await asyncio.sleep(left_s - asyncio.get_running_loop().time())
            writer.write(data)
            await writer.drain()
            window.release()
            segments.task_done()


def _small_socket(option: int, size: int) -> socket.socket:
    """Return a socket with a small kernel buffer, so that a full link stops the sender."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, option, size)
    return sock
