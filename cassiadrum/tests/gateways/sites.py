"""Stand-ins of the store and the endpoints of a gateway on loopback."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from cassiadrum.platform.fleet_sinks import FLEET_TABLE
from cassiadrum.platform.headers import Header
from cassiadrum.platform.member_rows import MemberRow
from cassiadrum.platform.standins import EndpointService, RowService
from cassiadrum.protocols import HttpClient

# Host header of the test callers: the HTTP client sends the address that it connects to.
HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 8.0
# Time after which a revoked key must no longer be served.
REVOKE_S = 2.5
# Time after which an endpoint that drains or was removed must get no new request.
DRAIN_S = 1.0
# Time between SIGTERM and SIGKILL.
GRACE_S = 6


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one route of each kind."""
    common = {"host": HOST, "timeout_ms": 3000, "goal_ms": 500, "priority": 1, "max_attempts": 2}
    routes = [
        {**common, "name": "p", "prefix": "/once/", "kind": "non_idempotent", "service": "plain"},
        {**common, "name": "q", "prefix": "/safe/", "kind": "idempotent", "service": "plain"},
        {
            **common,
            "name": "s",
            "prefix": "/stream/",
            "kind": "stream",
            "service": "engine",
            "resumable": True,
            "gap_target_ms": 100,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 20},
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 20,
                "engine": {"kv_capacity_tokens": 100_000},
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "st-martin", "api_keys": ["key-1"]}],
        **changes,
    }


def make_open_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration without customers, whose routes need no key."""
    configuration = make_configuration(version)
    del configuration["tenants"]
    return configuration


def make_settings(
    store_port: int, calls_port: int, ready_port: int, instance: str = "front-a-1"
) -> dict[str, Any]:
    """Return the content of a settings file with short time limits."""
    return {
        "node": instance,
        "role": "gateway",
        "zone": "a",
        "ip": "127.0.0.1",
        "listen": {"front": f"127.0.0.1:{calls_port}", "ready": f"127.0.0.1:{ready_port}"},
        "platform": {"address": f"127.0.0.1:{store_port}"},
        "bounds": {
            "contact_ms": 1500,
            "config_apply_ms": 1000,
            "drain_ms": DRAIN_S * 1000,
            "grace_s": GRACE_S,
            "strict_revoke": True,
            "revoke_ms": REVOKE_S * 1000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 320,
        },
    }


async def wait_until(check: Callable[[], bool], limit_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait until a condition holds."""

    async def holds() -> bool:
        return check()

    await poll_until(holds, limit_s)


async def poll_until(
    check: Callable[[], Awaitable[bool]], limit_s: float = WAIT_TIMEOUT_S
) -> None:
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(limit_s):
        while not await check():  # noqa: ASYNC110 - other processes set no event
            await asyncio.sleep(0.01)


class PlatformSite:
    """The stand-ins of the store and of two endpoints for each service."""

    def __init__(self) -> None:
        self.store = RowService()
        self.endpoints = {
            name: EndpointService(name, event_interval_s=0.01)
            for name in ("p-1", "p-2", "e-1", "e-2")
        }
        self.store_port = 0

    async def start(self) -> None:
        """Start the stand-ins and register all of them."""
        self.store_port = await self.store.start()
        for name, endpoint in self.endpoints.items():
            await endpoint.start()
            self.register(name)
        self.store.put("op", "config", make_configuration())

    def register(self, name: str, state: str = "ready") -> None:
        """Write an endpoint's registration."""
        service = "plain" if name.startswith("p") else "engine"
        self.store.put("servers", name, self.endpoints[name].entry(service, state=state))

    async def close(self) -> None:
        """Stop the stand-ins."""
        await self.store.close()
        for endpoint in self.endpoints.values():
            await endpoint.close()

    def members(self) -> list[MemberRow]:
        """Return the registrations of all gateways."""
        rows = self.store.rows(FLEET_TABLE)
        return [
            msgspec.json.decode(base64.b64decode(row["value"]), type=MemberRow) for row in rows
        ]

    def runs(self, request_id: str) -> int:
        """Return how many times a request ran at any endpoint."""
        return sum(
            run.request_id == request_id
            for endpoint in self.endpoints.values()
            for run in endpoint.runs
        )


class Caller:
    """Send requests to a gateway."""

    def __init__(self, port: int) -> None:
        self._client = HttpClient("127.0.0.1", port)
        self._request_count = 0

    async def call(
        self, path: str, *, key: str = "key-1", events: int = 0, request_id: str = "", **more: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body; raise AnswerLost if the answer is truncated."""
        self._request_count += 1
        headers = {
            Header.REQUEST_ID: request_id or f"r-{self._request_count}",
            Header.TIMEOUT: "3000",
            Header.API_KEY: key,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        if events:
            headers[Header.TOKENS] = f"100,{events}"
            headers[Header.PROMPT_PARTS] = "aa:80,bb:20"
        response = await self._client.request("POST", path, tuple(headers.items()), b"{}")
        return response.status, dict(response.headers), await response.read()

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


def write_settings(path: Any, settings: dict[str, Any]) -> None:
    """Write a settings file."""
    path.write_text(json.dumps(settings))
