"""Tests of settings that are reloaded while a gateway runs."""

import asyncio
import json
import re
import signal
from pathlib import Path
from typing import Any

import pytest

from cassiadrum.platform.standins import RowService, StoreFault
from cassiadrum.protocols import HttpClient
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    Caller,
    PlatformSite,
    make_configuration,
    make_settings,
    poll_until,
    wait_until,
    write_settings,
)

pytestmark = pytest.mark.integration


def initial_settings(site: PlatformSite, gateway: GatewaySubprocess) -> dict[str, Any]:
    """Return the settings that the gateway was started with."""
    return make_settings(site.store_port, gateway.calls_port, gateway.ready_port)


def apply_settings(gateway: GatewaySubprocess, settings: dict[str, Any]) -> None:
    """Write the settings file and send SIGHUP to the gateway."""
    write_settings(gateway.settings_path, settings)
    gateway.process.send_signal(signal.SIGHUP)


def read_log_lines(gateway: GatewaySubprocess, message: str) -> list[dict[str, Any]]:
    """Return the log lines with this message."""
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines()]
    return [line for line in lines if line["message"] == message]


def is_importing(pid: int) -> bool:
    """Return whether a process has begun to import the libraries of a gateway."""
    return "msgspec" in Path(f"/proc/{pid}/maps").read_text()


async def read_metrics(gateway: GatewaySubprocess) -> dict[str, float]:
    """Return the metrics that have no labels."""
    client = HttpClient("127.0.0.1", gateway.metrics_port)
    text = (await (await client.request("GET", "/metrics")).read()).decode()
    client.close()
    return {name: float(value) for name, value in re.findall(r"(?m)^(\w+) (\S+)$", text)}


class TestChangedSettings:
    """Guards against a reload that leaves an old value in use or cuts off running requests.

    A reload can replace the store client, the key limits and the budgets of a gateway that serves
    streams, loses its store or is being stopped.
    """

    async def test_sighup_during_the_start_does_not_end_the_process(
        self, gateway: GatewaySubprocess
    ) -> None:
        """Guards against a reload that ends a process which has not installed its handler yet."""
        await wait_until(lambda: is_importing(gateway.process.pid))
        while not await gateway.is_ready():
            gateway.process.send_signal(signal.SIGHUP)
            assert gateway.process.returncode is None
            await asyncio.sleep(0.005)

    async def test_new_store_address_is_used_and_a_stream_continues(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        task = asyncio.create_task(caller.call("/stream/a", events=150, request_id="long"))
        await wait_until(lambda: site.runs("long") == 1)
        other = RowService()
        port = await other.start()
        for name, endpoint in site.endpoints.items():
            service = "plain" if name.startswith("p") else "engine"
            other.put("servers", name, endpoint.entry(service))
        keys = [{"name": "st-martin", "api_keys": ["key-1", "key-2"]}]
        other.put("op", "config", make_configuration(7, tenants=keys))
        site.store.fault = StoreFault.SILENT
        settings = initial_settings(site, gateway)
        settings["platform"]["address"] = f"127.0.0.1:{port}"
        apply_settings(gateway, settings)
        second = Caller(gateway.calls_port)

        async def taken() -> bool:
            return (await second.call("/safe/a", key="key-2"))[0] == 200

        await poll_until(taken, 2.0)
        status, _, body = await task
        assert (status, body.count(b"id: ")) == (200, 150)
        await other.close()

    async def test_new_revocation_time_takes_effect_during_an_outage(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """Guards against keys that are served for the old revocation time after a reload."""
        settings = initial_settings(site, gateway)
        settings["bounds"]["revoke_ms"] = 60_000
        apply_settings(gateway, settings)
        await wait_until(lambda: bool(read_log_lines(gateway, "settings changed")))
        site.store.fault = StoreFault.SILENT
        await asyncio.sleep(4.0)
        assert (await caller.call("/safe/a"))[0] == 200
        settings["bounds"]["revoke_ms"] = 1000
        apply_settings(gateway, settings)

        async def refused() -> bool:
            return (await caller.call("/safe/a"))[0] == 503

        await poll_until(refused, 1.0)

    async def test_settings_that_need_a_restart_are_logged(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        settings = initial_settings(site, gateway)
        settings |= {"zone": "b", "limits": {"max_fds": 5000, "memory_mb": 300}}
        settings["bounds"]["grace_s"] = 5
        apply_settings(gateway, settings)
        await wait_until(lambda: bool(read_log_lines(gateway, "settings changed")))
        (line,) = read_log_lines(gateway, "settings changed")
        assert line["taken"] == ["bounds"]
        assert line["need_restart"] == ["descriptors", "memory_bytes", "zone"]
        assert (await caller.call("/safe/a"))[0] == 200

    async def test_repeated_changes_during_an_outage_and_a_stop(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        task = asyncio.create_task(caller.call("/stream/a", events=150, request_id="long"))
        await wait_until(lambda: site.runs("long") == 1)
        settings = initial_settings(site, gateway)
        site.store.fault = StoreFault.RESET
        for number in range(5):
            settings["bounds"]["retry_budget_slack"] = number
            apply_settings(gateway, settings)
            await asyncio.sleep(0.05)
        site.store.fault = StoreFault.NONE
        site.store.put("op", "config", make_configuration(9))
        gateway.process.send_signal(signal.SIGTERM)
        apply_settings(gateway, {**settings, "zone": 7})
        status, _, body = await task
        assert (status, body.count(b"id: ")) == (200, 150)
        async with asyncio.timeout(8.0):
            assert await gateway.process.wait() == 0

    async def test_metrics_identify_the_settings_and_configuration_in_force(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        await caller.call("/safe/a")
        before = await read_metrics(gateway)
        settings = initial_settings(site, gateway)
        settings["bounds"]["drain_ms"] = 900
        apply_settings(gateway, settings)
        await wait_until(lambda: bool(read_log_lines(gateway, "settings changed")))
        site.store.put("op", "config", make_configuration(3))

        async def newer() -> bool:
            found = await read_metrics(gateway)
            return found["cassiadrum_gateway_configuration_version"] == 3

        await poll_until(newer)
        after = await read_metrics(gateway)
        digest = "cassiadrum_gateway_settings_digest"
        assert after[digest] != before[digest]
        for name in ("settings", "configuration"):
            loaded = f"cassiadrum_gateway_{name}_loaded_timestamp_seconds"
            assert after[loaded] > before[loaded] > 0
