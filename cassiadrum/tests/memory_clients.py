"""An HTTP client whose server is in memory."""

import asyncio
from collections.abc import Sequence

from cassiadrum.protocols import HttpClient
from cassiadrum.protocols.notifying_readers import NotifyingReader
from cassiadrum.tests.gateways.cut_answers import Ending, EndpointTransport

OK_ANSWER = b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok"


class MemoryClient(HttpClient):
    """A client whose connections answer from memory, each with given bytes for each request."""

    def __init__(self, *connections: Sequence[tuple[bytes, Ending | None]]) -> None:
        super().__init__("127.0.0.1", 1)
        self.connections = list(connections)

    async def _open(self) -> tuple[NotifyingReader, asyncio.StreamWriter]:
        loop = asyncio.get_running_loop()
        reader = NotifyingReader(limit=64 * 1024)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport = EndpointTransport(protocol)
        for data, ending in self.connections.pop(0):
            transport.add_answer(data, ending)
        protocol.connection_made(transport)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
