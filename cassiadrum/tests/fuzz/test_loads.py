"""Tests of the client of model engines with generated load reports and order replies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cassiadrum.endpoints import EndpointError, EngineEndpoint
from cassiadrum.protocols import Exchange, HttpServer

VALID_REPORT: dict[str, Any] = {
    "running": 1,
    "waiting": 2,
    "tokens_per_s": 3.5,
    "models": ["m"],
    "adapters": [],
    "cached": [7],
}
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)
changed_reports = st.dictionaries(st.sampled_from(sorted(VALID_REPORT)), json_values, max_size=3)
bodies = st.one_of(
    st.binary(max_size=40),
    json_values.map(lambda value: json.dumps(value).encode()),
    changed_reports.map(lambda change: json.dumps({**VALID_REPORT, **change}).encode()),
)


async def ask(body: bytes, call: Callable[[EngineEndpoint], Awaitable[object]]) -> object:
    """Return the result of a call to an engine that answers with a body."""

    async def serve(exchange: Exchange) -> None:
        await exchange.send(200, body, "application/json")

    server = HttpServer(serve)
    endpoint = EngineEndpoint("127.0.0.1", await server.start("127.0.0.1", 0))
    try:
        return await call(endpoint)
    finally:
        endpoint.close()
        await server.abort()


class TestEngineReplies:
    """Guards against a reply that ends the sidecar's task which polls its engine."""

    @settings(max_examples=150, deadline=None)
    @given(bodies)
    @example(b"[]")
    @example(b"[" * 50_000)
    @example(json.dumps({**VALID_REPORT, "running": 10**400}).encode())
    @example(json.dumps({**VALID_REPORT, "waiting": -1}).encode())
    def test_load_is_read_or_reported_lost(self, body: bytes) -> None:
        try:
            load = asyncio.run(ask(body, lambda endpoint: endpoint.load()))
        except EndpointError:
            return
        assert load is not None

    @settings(max_examples=100, deadline=None)
    @given(bodies)
    @example(b"7")
    def test_reply_to_an_order_is_read_or_reported_lost(self, body: bytes) -> None:
        try:
            accepted = asyncio.run(ask(body, lambda endpoint: endpoint.order("load", "m", 1)))
        except EndpointError:
            return
        assert isinstance(accepted, tuple)
