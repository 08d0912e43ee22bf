"""A gateway process with stand-ins of the platform, for cost measurements."""

import asyncio
import json
import socket

from bench.processes import ChildProcess, ProcessGroup
from bench.wall_clock.load_generators import RequestTemplate
from cassiadrum.gateways import CallKind
from cassiadrum.platform.node_settings import FILE_VARIABLE
from cassiadrum.platform.processes import READY_PATH
from cassiadrum.platform.standins import (
    RowService,
    TrialRoute,
    trial_configuration,
    trial_headers,
    trial_settings,
    trial_stream_headers,
)
from cassiadrum.platform.table_sinks import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    ENDPOINT_TABLE,
)
from cassiadrum.protocols import ConnectFailed, HttpClient

__all__ = ["EVENTS_PER_STREAM", "GATEWAY_REQUEST_TEMPLATES", "GatewayPlatform"]

HOST = "127.0.0.1"
# Host header of the load generator's requests.
CALLED_HOST = "bench"
START_TIMEOUT_S = 20.0
EVENTS_PER_STREAM = 64
API_KEY = "bench-key"
ROUTES = (TrialRoute("calls", CallKind.IDEMPOTENT), TrialRoute("streams", CallKind.STREAM))
GATEWAY_REQUEST_TEMPLATES = (
    RequestTemplate("calls", "GET", "/calls/7", b"", 0, trial_headers("bench", API_KEY)),
    RequestTemplate(
        "streams",
        "POST",
        "/streams/7",
        b"{}",
        EVENTS_PER_STREAM,
        trial_stream_headers("bench", API_KEY, EVENTS_PER_STREAM),
    ),
)


class GatewayPlatform:
    """A gateway and one endpoint per service as child processes, and the store in this process."""

    def __init__(self, group: ProcessGroup) -> None:
        self._group = group
        self._store = RowService()
        # Addresses of the endpoints by service.
        self.engines: dict[str, str] = {}

    async def start(self) -> ChildProcess:
        """Start and register the endpoints, start a gateway and return it once it is ready."""
        store_port = await self._store.start()
        for template in GATEWAY_REQUEST_TEMPLATES:
            engine = await self._group.start(
                "bench.wall_clock.signing_engine", "--instance", template.name
            )
            self.engines[template.name] = engine.startup_info["http"]
            self._store.put(ENDPOINT_TABLE, template.name, engine.startup_info["entry"])
        configuration = trial_configuration(CALLED_HOST, API_KEY, ROUTES)
        self._store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, configuration)
        calls_port, ready_port = _free_port(), _free_port()
        settings = trial_settings(store_port, calls_port, ready_port)
        child = await self._group.start_logged(
            "cassiadrum.platform", FILE_VARIABLE, json.dumps(settings)
        )
        child.startup_info = {"http": f"{HOST}:{calls_port}"}
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _is_ready(ready_port):  # noqa: ASYNC110 - another process sets no event
                await asyncio.sleep(0.05)
        return child

    async def close(self) -> None:
        """Stop the store."""
        await self._store.close()


async def _is_ready(port: int) -> bool:
    client = HttpClient(HOST, port)
    try:
        response = await client.request("GET", READY_PATH)
        await response.read()
    except ConnectFailed:
        return False
    finally:
        client.close()
    return response.status == 200


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])
