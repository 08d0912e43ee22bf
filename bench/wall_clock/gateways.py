"""A gateway process on the stand-ins of the platform, for the measurement of its cost."""

import asyncio
import json
import socket

from bench.processes import Child, ProcessGroup
from bench.wall_clock.callers import Work
from cassiadrum.platform.boot_settings import FILE_VARIABLE
from cassiadrum.platform.standins import RowService
from cassiadrum.platform.wire_names import Header
from cassiadrum.protocols import ConnectFailed, HttpClient

__all__ = ["EVENTS", "GATEWAY_WORKS", "GatewayPlatform"]

HOST = "127.0.0.1"
START_LIMIT_S = 20.0
EVENTS = 64
KEY = "bench-key"
CALL_HEADERS = ((Header.REQUEST_ID, "bench"), (Header.KEY, KEY))
STREAM_HEADERS = (
    *CALL_HEADERS,
    (Header.TOKENS, f"100,{EVENTS}"),
    (Header.PROMPT, "shared:80,own:20"),
)
GATEWAY_WORKS = (
    Work("calls", "GET", "/calls/7", b"", 0, CALL_HEADERS),
    Work("streams", "POST", "/streams/7", b"{}", EVENTS, STREAM_HEADERS),
)


class GatewayPlatform:
    """The store in this process, a gateway and an endpoint of each service as child processes."""

    def __init__(self, group: ProcessGroup) -> None:
        self._group = group
        self._store = RowService()
        # Addresses by service.
        self.engines: dict[str, str] = {}

    async def start(self) -> Child:
        """Start and register the endpoints and return a gateway that is ready."""
        store_port = await self._store.start()
        for work in GATEWAY_WORKS:
            engine = await self._group.start(
                "bench.wall_clock.signing_engine", "--instance", work.name
            )
            self.engines[work.name] = engine.ready["http"]
            self._store.put("servers", work.name, engine.ready["entry"])
        self._store.put("op", "config", _configuration())
        calls_port, ready_port = _free_port(), _free_port()
        settings = {
            "node": "gateway",
            "zone": "a",
            "listen": {"front": f"{HOST}:{calls_port}", "ready": f"{HOST}:{ready_port}"},
            "platform": {"address": f"{HOST}:{store_port}"},
        }
        child = await self._group.start_logged(
            "cassiadrum.platform", FILE_VARIABLE, json.dumps(settings)
        )
        child.ready = {"http": f"{HOST}:{calls_port}"}
        async with asyncio.timeout(START_LIMIT_S):
            while not await _is_ready(ready_port):  # noqa: ASYNC110 - another process sets no event
                await asyncio.sleep(0.05)
        return child

    async def close(self) -> None:
        """Stop the store."""
        await self._store.close()


def _configuration() -> dict[str, object]:
    common = {"host": "bench", "timeout_ms": 20_000, "goal_ms": 10_000, "priority": 1}
    kinds = {"calls": "idempotent", "streams": "stream"}
    routes = [
        {
            **common,
            "name": work.name,
            "prefix": f"/{work.name}/",
            "kind": kinds[work.name],
            "service": work.name,
            "max_attempts": 2,
            "resumable": work.tokens > 0,
            "gap_target_ms": 1000,
        }
        for work in GATEWAY_WORKS
    ]
    services = [
        {"name": work.name, "health_path": "/health", "max_conns": 100} for work in GATEWAY_WORKS
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 60_000,
        },
        "tenants": [{"name": "bench", "api_keys": [KEY]}],
    }


async def _is_ready(port: int) -> bool:
    client = HttpClient(HOST, port)
    try:
        response = await client.request("GET", "/-/ready")
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
