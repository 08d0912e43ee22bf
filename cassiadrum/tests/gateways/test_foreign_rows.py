"""Tests of rows that another writer left among those of the endpoints."""

import asyncio
import base64
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.records import decode_catalog, decode_entry
from cassiadrum.platform.row_pages import RowPage
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    DRAIN_S,
    Caller,
    PlatformSite,
    make_configuration,
    poll_until,
)

DIGITS = "9" * 4000
SOUND: dict[str, Any] = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 1,
    "seq": 1,
}


def entry_bytes(**changes: Any) -> bytes:
    """Return a registration in which some values are replaced by the JSON text given."""
    fields = {name: json.dumps(value) for name, value in SOUND.items()} | changes
    text = ",".join(f"{json.dumps(name)}:{value}" for name, value in fields.items())
    return f"{{{text}}}".encode()


UNREADABLE = {
    "empty": b"",
    "not JSON": b"\xff\xfe{",
    "null": b"null",
    "nested": b"[" * 40_000,
    "nested field": entry_bytes(more="[" * 20_000 + "]" * 20_000),
    "nested known field": entry_bytes(zone='{"a":' * 5000 + "1" + "}" * 5000),
    "too many slots": entry_bytes(slots="1" + "0" * 400),
    "float slots": entry_bytes(slots="1e400"),
    "long start time": entry_bytes(born=DIGITS),
    "start time above 64 bits": entry_bytes(born=str(2**63)),
    "cold for ever": entry_bytes(cold_left_ms="1e300"),
    "unknown state": entry_bytes(state='"leaving"'),
    "empty service": entry_bytes(service='""'),
    **{
        f"address {text[:30]!r}": entry_bytes(address=json.dumps(text))
        for text in (
            "",
            ":",
            ":80",
            "127.0.0.1",
            "127.0.0.1:",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:65536",
            "127.0.0.1:+80",
            "127.0.0.1: 80",
            "127.0.0.1:8_0",
            "127.0.0.1:\u0668\u0660",
            "127.0.0.1:" + DIGITS,
            "127.0.0..7:8120",
            "127.0.0.1.:80",
            "a" * 70 + ".example:80",
            "engine.example:80",
            "\u00fc:80",
            "::1:80",
            "[127.0.0.1]:80",
            "[fe80::1%lo]:80",
            "0.0.0.0:80",
            "[::]:80",
            "224.0.0.1:80",
            "255.255.255.255:80",
            "127.0.0.1:80\r\nx: y",
        )
    },
}


class TestRegistrations:
    """Guards against a registration that names no endpoint but is used as one.

    Whatever is decoded is later connected to, sent in headers, compared and encoded again.
    """

    @pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE)
    def test_unreadable_registration_is_rejected(self, content: bytes) -> None:
        with pytest.raises(BadRecord):
            decode_entry("i-0", content)

    @pytest.mark.parametrize("instance", ["", "a b", "a\nb", "\u00fc", "a" * 201])
    def test_id_that_is_no_header_value_is_rejected(self, instance: str) -> None:
        with pytest.raises(BadRecord):
            decode_entry(instance, entry_bytes())

    @pytest.mark.parametrize("address", ["10.128.0.9:8080", "[::1]:65535"])
    def test_sound_registration_is_accepted(self, address: str) -> None:
        entry = decode_entry("i-7f3a91c2", entry_bytes(address=json.dumps(address)))
        assert str(entry.address) == address

    @settings(max_examples=300, deadline=None)
    @given(
        st.text(max_size=30)
        | st.from_regex(r"[0-9.:\[\]a-f%]{1,30}:[0-9 _+-]{1,8}", fullmatch=True)
    )
    def test_accepted_address_can_be_connected_to(self, text: str) -> None:
        try:
            entry = decode_entry("i-0", entry_bytes(address=json.dumps(text)))
        except BadRecord:
            return
        assert 0 < entry.address.port < 65_536
        assert Address.parse_peer(str(entry.address)) == entry.address
        assert msgspec.json.encode(entry.incarnation)

    def test_customer_whose_name_is_no_header_value_costs_only_itself(self) -> None:
        customers = [
            {"name": "a\r\nx: y", "api_keys": ["k"]},
            {"name": "b", "api_keys": ["l"]},
        ]
        access = decode_catalog(json.dumps(make_configuration(tenants=customers)).encode()).access
        customer = access.customer("l")
        assert access.customer("k") is None
        assert customer is not None
        assert customer.name == "b"


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)
odd_rows = st.one_of(
    json_values,
    st.fixed_dictionaries(
        {"key": json_values},
        optional={"value": json_values, "ver": json_values, "removed": json_values},
    ),
    st.fixed_dictionaries({"key": st.just("sound"), "part": st.just("other")}),
)


class TestRowPages:
    """Guards against one row that makes the rows around it unreadable."""

    @settings(max_examples=100, deadline=None)
    @given(st.lists(odd_rows, max_size=3), st.lists(odd_rows, max_size=3))
    def test_odd_row_costs_only_itself(self, before: list[Any], after: list[Any]) -> None:
        sound = {"key": "sound", "value": base64.b64encode(b"content").decode(), "ver": 7}
        page = asyncio.run(self._read({"rows": [*before, sound, *after]}))
        assert ("sound", b"content", 7) in page.rows
        assert all(row.key != "sound" or row.content == b"content" for row in page.rows)

    def test_keys_between_pages_are_quoted(self) -> None:
        """Guards against a list that ends at a key with a space, `&` or a letter beyond ASCII."""
        keys = ["a b", "a&limit=1", "\u00fc/?#", "z"]
        rows = [{"key": key, "value": "eA==", "ver": 1} for key in keys]
        seen: list[str] = []

        async def serve(exchange: Exchange) -> None:
            seen.append(exchange.req.query)
            number = len(seen) - 1
            page = {"rows": rows[number : number + 1], "ver": 1, "now_ms": 1}
            await exchange.send_json(200, {**page, "truncated": number < 3})

        page = asyncio.run(self._read_from(serve))
        assert [row.key for row in page.rows] == keys
        assert [query.partition("&from=")[2] for query in seen] == [
            "",
            "a%20b",
            "a%26limit%3D1",
            "%C3%BC%2F%3F%23",
        ]

    async def _read(self, body: dict[str, Any]) -> RowPage:
        async def serve(exchange: Exchange) -> None:
            await exchange.send_json(200, {"ver": 9, "now_ms": 1, **body})

        return await self._read_from(serve)

    @staticmethod
    async def _read_from(serve: Any) -> RowPage:
        server = HttpServer(serve)
        store = RowStore(Address("127.0.0.1", await server.start("127.0.0.1", 0)))
        try:
            return await store.read_all("servers")
        finally:
            store.close()
            await server.abort()


@pytest.mark.integration
class TestForeignRows:
    """Guards against a row that ends a gateway, closes connections of callers or stops updates."""

    async def test_service_and_updates_go_on(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        for number, content in enumerate(UNREADABLE.values()):
            site.store.put("servers", f"foreign-{number}", content)
        for key in ("", "a b", "\u00fc"):
            site.store.put("servers", key, entry_bytes())
        await asyncio.sleep(DRAIN_S)
        for number in range(30):
            status, _, body = await caller.call("/safe/a", request_id=f"lookup-{number}")
            assert (status, body in (b"p-1", b"p-2")) == (200, True)
            status, _, _ = await caller.call("/once/a", request_id=f"order-{number}")
            assert (status, site.runs(f"order-{number}")) == (200, 1)
        site.register("p-1", state="draining")
        await asyncio.sleep(DRAIN_S)
        assert (await caller.call("/safe/a"))[2] == b"p-2"
        assert gateway.process.returncode is None

    async def test_row_with_numbers_at_the_limits_is_told_on(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """Guards against a number that cannot be encoded again in the gateway's own row."""
        site.endpoints["p-1"].limit = "50"
        for name, born in (("p-1", 2**63 - 1), ("p-2", 2**70)):
            site.endpoints[name].born = born
            site.register(name)

        async def is_told() -> bool:
            await caller.call("/safe/a")
            return any(row.limits for row in site.members())

        await poll_until(is_told)
        assert gateway.process.returncode is None
