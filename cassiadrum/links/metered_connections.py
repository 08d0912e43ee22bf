"""WebSocket connections that count the bytes they receive."""

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection

__all__ = ["MeteredClientConnection", "MeteredConnection", "MeteredServerConnection"]


class MeteredConnection(Connection):
    """A connection whose `received_bytes` counts those of incomplete frames, too."""

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Count and process received bytes."""
        self.received_bytes += len(data)
        super().data_received(data)


class MeteredClientConnection(MeteredConnection, ClientConnection):
    """The side that opens the connection."""


class MeteredServerConnection(MeteredConnection, ServerConnection):
    """The side that accepts the connection."""
