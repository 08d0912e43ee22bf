"""Link client that sends and receives single messages."""

from typing import TypeVar

from websockets.asyncio.client import ClientConnection, connect

from cassiadrum.links.codecs import decode_messages, encode_message
from cassiadrum.links.messages import PROTOCOL_VERSION, Hello, Message

__all__ = ["RawLink"]

M = TypeVar("M", bound=Message)


class RawLink:
    """Connect to a sidecar like an entry instance, but send no heartbeats."""

    def __init__(self, conn: ClientConnection) -> None:
        self._conn = conn
        self._received: list[Message | None] = []

    @classmethod
    async def open(cls, address: str, instance: str = "raw", *, hello: bool = True) -> "RawLink":
        """Connect and, with `hello`, send the hello message."""
        link = cls(await connect(f"ws://{address}/", compression=None, proxy=None))
        if hello:
            await link.send(Hello(PROTOCOL_VERSION, instance, "entry", "zone", "", "start"))
        return link

    async def send(self, msg: Message) -> None:
        """Send a message."""
        await self._conn.send(encode_message(msg))

    async def send_frame(self, frame: bytes | str) -> None:
        """Send a raw frame, which need not be valid."""
        await self._conn.send(frame)

    async def receive(self, kind: type[M]) -> M:
        """Return the next message of a type; raise ConnectionClosed of websockets at the end."""
        while True:
            while self._received:
                msg = self._received.pop(0)
                if isinstance(msg, kind):
                    return msg
            frame = await self._conn.recv()
            assert isinstance(frame, bytes)
            self._received = decode_messages(frame)

    async def close(self) -> None:
        """Abort the connection."""
        self._conn.transport.abort()
        await self._conn.wait_closed()
