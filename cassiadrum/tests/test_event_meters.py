"""Tests of the metrics that roles derive from their events."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from cassiadrum.documents import parse_document
from cassiadrum.events import EventKind, EventRing, HybridLogicalClock
from cassiadrum.loads import LoadPlan, LoadSender
from cassiadrum.metrics import RoleMetrics, make_registry
from cassiadrum.protocols import HttpClient
from cassiadrum.roles import Daemon
from cassiadrum.roles.event_meters import EventMeter
from cassiadrum.sites import LocalSite

EXAMPLES = Path(__file__).parents[2] / "examples"
SERVICES = ("sprachdienst", "permit-register")
DOCUMENT = parse_document((EXAMPLES / "sprachdienst.toml").read_text())


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def parse_metrics(text: str) -> dict[str, float]:
    lines = (line for line in text.splitlines() if line and not line.startswith("#"))
    return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}


class TestEventMeter:
    """Guards against missing measurements and against per-request entries that are never removed.

    A request ends in several ways, and each of them has to be counted and to remove its entry.
    """

    def make(self, role: str) -> tuple[EventMeter, RoleMetrics, EventRing, ManualClock]:
        clock = ManualClock()
        metrics = RoleMetrics(clock, make_registry())
        meter = EventMeter(metrics, lambda service: DOCUMENT, clock)
        ring = EventRing(HybridLogicalClock(clock), "i", role, "s")
        ring.listener = meter
        return meter, metrics, ring, clock

    def record(self, ring: EventRing, kind: EventKind, **fields: Any) -> None:
        ring.record(kind, "r", "sprachdienst", "feast-assessment", "parish", **fields)

    @pytest.mark.parametrize(("gap_s", "result"), [(0.03, "met"), (0.05, "missed")])
    def test_answer_is_measured_against_its_latency_targets(
        self, gap_s: float, result: str
    ) -> None:
        meter, metrics, ring, clock = self.make("entry")
        self.record(ring, EventKind.RECEIVED)
        clock.now = 0.2
        self.record(ring, EventKind.DISPATCHED, attempt=1)
        clock.now = 0.5
        self.record(ring, EventKind.FIRST_TOKEN)
        clock.now = 0.5 + 10 * gap_s
        self.record(ring, EventKind.FINISHED, reason="", ran="yes", tokens=11)
        values = parse_metrics(metrics.render().decode())
        labels = 'class="feast-assessment",'
        service = 'service="sprachdienst"'
        assert values[f'cassiadrum_attainment_total{{{labels}result="{result}",{service}}}'] == 1
        for name, total in (
            ("queue_wait", 0.2),
            ("first_token", 0.5),
            ("inter_token", gap_s * 10),
        ):
            found = values[f"cassiadrum_{name}_seconds_sum{{{labels}{service}}}"]
            assert found == pytest.approx(total)
        assert not meter._timings

    @pytest.mark.parametrize("kind", [EventKind.REFUSED, EventKind.EVICTED])
    def test_refusal_counts_as_missed(self, kind: EventKind) -> None:
        meter, metrics, ring, _ = self.make("entry")
        self.record(ring, EventKind.RECEIVED)
        self.record(ring, kind, reason="overloaded", ran="no", tokens=0)
        text = metrics.render().decode()
        assert 'refusals_total{reason="overloaded",service="sprachdienst"} 1' in text
        assert 'result="missed",service="sprachdienst"} 1' in text
        assert not meter._timings

    def test_sidecar_counts_wasted_tokens_and_claims(self) -> None:
        meter, metrics, ring, clock = self.make("sidecar")
        self.record(ring, EventKind.QUEUED, attempt="r.1")
        clock.now = 0.1
        self.record(ring, EventKind.STARTED, attempt="r.1")
        self.record(ring, EventKind.CLAIM_REFUSED, reason="in_progress")
        self.record(ring, EventKind.CANCELLED, attempt="r.1", reason="caller_left", tokens=9)
        text = metrics.render().decode()
        assert 'wasted_tokens_total{reason="caller_left",service="sprachdienst"} 9' in text
        assert 'claims_total{outcome="in_progress",service="sprachdienst"} 1' in text
        assert not meter._timings


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    site = LocalSite([(EXAMPLES / f"{name}.toml").read_text() for name in SERVICES], entries=1)
    await site.start()
    yield site
    await site.drain()
    await site.close()


async def scrape(daemon: Daemon) -> dict[str, float]:
    host, _, port = daemon.addresses["admin"].rpartition(":")
    response = await HttpClient(host, int(port)).request("GET", "/metrics")
    assert response.status == 200
    return parse_metrics((await response.read()).decode())


def total(values: dict[str, float], name: str, label: str = "") -> float:
    return sum(value for key, value in values.items() if key.startswith(name) and label in key)


class TestSiteMetrics:
    """Guards against metrics that a role does not update or its admin interface does not serve."""

    async def test_counters_agree_with_what_callers_saw(self, site: LocalSite) -> None:
        sender = LoadSender([site.entry_address()], site.documents, seed=5)
        await sender.run(LoadPlan.uniform_mix(site.documents, 40.0, 1.0, seed=5))
        values = await scrape(site.entries[0])
        results = sender.results.values()
        assert total(values, "cassiadrum_requests_total") == sum(res.sent for res in results)
        assert total(values, "cassiadrum_goodput") == sum(res.tokens for res in results)
        assert total(values, "cassiadrum_attainment") == sum(res.answered for res in results)
        assert total(values, "cassiadrum_connections", "sidecar") == len(site.endpoints)
        assert total(values, "cassiadrum_store_calls_total", "answered") > 0
        assert total(values, "cassiadrum_control_bytes_total", "in") > 0
        assert total(values, "cassiadrum_configuration_version") == len(SERVICES)
        sidecars = [await scrape(endpoint.sidecar) for endpoint in site.endpoints]
        made = sum(total(found, "cassiadrum_claims_total", "made") for found in sidecars)
        assert made == sender.results["permit-register", "permit-issue"].answered

    async def test_tokens_of_a_cancelled_stream_are_counted_as_wasted(
        self, site: LocalSite
    ) -> None:
        host, _, port = site.entry_address().rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps({"prompt": "yoke", "stream": True}).encode()
        head = "POST /services/sprachdienst/v1/completions HTTP/1.1\r\nhost: a\r\n"
        writer.write(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        await reader.readuntil(b"data: ")
        writer.transport.abort()
        async with asyncio.timeout(5.0):
            while True:
                found = [await scrape(endpoint.sidecar) for endpoint in site.endpoints]
                if sum(total(values, "cassiadrum_wasted", "caller_left") for values in found) > 0:
                    return
                await asyncio.sleep(0.02)

    async def test_refusal_before_a_class_is_known_is_counted(self, site: LocalSite) -> None:
        host, _, port = site.entry_address().rpartition(":")
        response = await HttpClient(host, int(port)).request("GET", "/services/nowhere/x")
        await response.read()
        values = await scrape(site.entries[0])
        assert total(values, "cassiadrum_refusals_total", "unknown_service") == 1
