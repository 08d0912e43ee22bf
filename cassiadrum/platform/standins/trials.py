"""Settings, configurations and headers for trials of a gateway on loopback."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from cassiadrum.gateways import CallKind
from cassiadrum.platform.headers import Header

__all__ = [
    "TrialRoute",
    "trial_configuration",
    "trial_headers",
    "trial_settings",
    "trial_stream_headers",
]

HOST = "127.0.0.1"
KIND_VALUES = {
    CallKind.ONCE: "non_idempotent",
    CallKind.IDEMPOTENT: "idempotent",
    CallKind.STREAM: "stream",
}
SHARED_TOKENS = 80
OWN_TOKENS = 20


class TrialRoute(NamedTuple):
    """Routing of requests below `/NAME/` to the service of that name; times are in seconds."""

    name: str
    kind: CallKind
    timeout_s: float = 20.0
    target_s: float = 10.0
    gap_s: float = 1.0


def trial_settings(store_port: int, calls_port: int, ready_port: int) -> dict[str, Any]:
    """Return the content of a gateway's settings file."""
    return {
        "node": "gateway",
        "zone": "a",
        "listen": {"front": f"{HOST}:{calls_port}", "ready": f"{HOST}:{ready_port}"},
        "platform": {"address": f"{HOST}:{store_port}"},
    }


def trial_configuration(host: str, key: str, routes: Iterable[TrialRoute]) -> dict[str, Any]:
    """Return a configuration with one customer, who has the API key `key`."""
    routes = tuple(routes)
    return {
        "version": 1,
        "routes": [_route(host, route) for route in routes],
        "services": [
            {"name": route.name, "health_path": "/health", "max_conns": 100} for route in routes
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 60_000,
        },
        "tenants": [{"name": "trial", "api_keys": [key]}],
    }


def trial_headers(request_id: str, key: str) -> tuple[tuple[str, str], ...]:
    """Return the headers of a plain call."""
    return (Header.REQUEST_ID, request_id), (Header.API_KEY, key)


def trial_stream_headers(request_id: str, key: str, events: int) -> tuple[tuple[str, str], ...]:
    """Return the headers of a call that is answered with a stream of `events` events."""
    return (
        *trial_headers(request_id, key),
        (Header.TOKENS, f"{SHARED_TOKENS + OWN_TOKENS},{events}"),
        (Header.PROMPT_PARTS, f"shared:{SHARED_TOKENS},own:{OWN_TOKENS}"),
    )


def _route(host: str, route: TrialRoute) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": host,
        "prefix": f"/{route.name}/",
        "kind": KIND_VALUES[route.kind],
        "service": route.name,
        "priority": 1,
        "max_attempts": 2,
        "timeout_ms": route.timeout_s * 1000,
        "goal_ms": route.target_s * 1000,
        "gap_target_ms": route.gap_s * 1000,
        "resumable": route.kind is CallKind.STREAM,
    }
