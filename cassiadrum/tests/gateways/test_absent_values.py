"""Tests of values that are absent, empty or unreadable in the configuration."""

import json
from typing import Any

import pytest

from cassiadrum.gateways import Call, Customer, KeyedAccess, OpenAccess
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.headers import Header
from cassiadrum.platform.records import decode_catalog
from cassiadrum.protocols import HttpRequest
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    REVOKE_S,
    Caller,
    PlatformSite,
    make_configuration,
    make_open_configuration,
    poll_until,
)


def decode_call(*headers: tuple[str, str]) -> Call:
    lines = ((Header.REQUEST_ID, "r"), ("host", "a"), *headers)
    return PlatformProtocol().decode_call(HttpRequest("GET", "/", lines, b""))


class TestAccess:
    """Guards against an empty or unreadable list of customers that admits every caller."""

    def test_absent_list_asks_for_no_key(self) -> None:
        catalog = decode_catalog(json.dumps(make_open_configuration()).encode())
        assert isinstance(catalog.access, OpenAccess)

    @pytest.mark.parametrize(
        "customers",
        [[], [{"name": "a"}], [{"name": "a", "api_keys": []}], [{"name": "a", "api_keys": [""]}]],
        ids=["no customer", "absent keys", "no key", "empty key"],
    )
    def test_list_without_keys_admits_nobody(self, customers: object) -> None:
        raw = json.dumps(make_configuration(tenants=customers)).encode()
        access = decode_catalog(raw).access
        assert access.asks_for_key
        assert [access.customer(key) for key in (None, "", "key-1")] == [None, None, None]

    @pytest.mark.parametrize(
        "customers",
        [None, {}, "", 0, False, [None], [{}], [{"name": "a", "api_keys": None}]],
        ids=repr,
    )
    def test_unreadable_list_makes_the_configuration_unreadable(self, customers: object) -> None:
        with pytest.raises(BadRecord):
            decode_catalog(json.dumps(make_configuration(tenants=customers)).encode())

    def test_no_key_is_not_an_empty_key(self) -> None:
        access = KeyedAccess({"": Customer("a", None), "k": Customer("b", None)})
        assert access.customer("k") == Customer("b", None)
        calls = [
            decode_call(),
            decode_call((Header.API_KEY, "")),
            decode_call((Header.API_KEY, "k"), (Header.API_KEY, "l")),
        ]
        assert [call.key for call in calls] == [None, "", ""]
        assert [access.customer(call.key) for call in calls] == [None, None, None]

    def test_prompt_of_many_parts_keeps_its_length(self) -> None:
        """Guards against a caller whose prompt costs every later placement thousands of steps."""
        text = ",".join(f"{number:x}:2" for number in range(3000))
        prompt = decode_call((Header.PROMPT_PARTS, text)).prompt
        assert len(prompt) == 64
        assert sum(part.tokens for part in prompt) == 6000
        assert [part.part_id for part in (prompt[0], prompt[62], prompt[-1])] == ["0", "3e", "bb7"]

    def test_timeout_of_zero_is_not_an_absent_one(self) -> None:
        texts = ["0", "-1", "", "soon", "nan"]
        timeouts = [decode_call((Header.TIMEOUT, text)).timeout_s for text in texts]
        assert timeouts == [0.0, 0.0, None, None, None]


@pytest.mark.integration
class TestConfigurationOfTheStore:
    """Guards against keys that are served by a configuration that is no longer the newest.

    A configuration that cannot be read, or is gone, replaced the one in force: answers of the
    store no longer confirm that the keys of the older one are valid.
    """

    async def test_key_is_refused_once_its_customer_is_removed(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        assert (await caller.call("/once/a"))[0] == 200
        site.store.put("op", "config", make_configuration(2, tenants=[]))

        async def refused() -> bool:
            return (await caller.call("/once/a"))[0] == 401

        await poll_until(refused, REVOKE_S)
        for key in ("key-1", "key-that-nobody-held"):
            status, _, _ = await caller.call("/once/a", request_id=f"late-{key}", key=key)
            assert status == 401
            assert site.runs(f"late-{key}") == 0

    @pytest.mark.parametrize(
        "content",
        [b"", b"[" * 50_000, make_configuration(2, tenants=None), None],
        ids=["empty", "nested", "customers null", "removed"],
    )
    async def test_unreadable_version_confirms_no_older_one(
        self,
        site: PlatformSite,
        caller: Caller,
        gateway: GatewaySubprocess,
        content: bytes | dict[str, Any] | None,
    ) -> None:
        if content is None:
            site.store.remove("op", "config")
        else:
            site.store.put("op", "config", content)
        await gateway.wait_ready(ready=False, limit_s=REVOKE_S)
        status, headers, _ = await caller.call("/once/a", request_id="unconfirmed")
        assert (status, site.runs("unconfirmed")) == (503, 0)
        assert "retry-after" in headers
        site.store.put("op", "config", make_configuration(3))
        await gateway.wait_ready()
        assert (await caller.call("/once/a"))[0] == 200
