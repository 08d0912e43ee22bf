"""Tests of a site in one process, from the caller to the endpoint."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from cassiadrum.invariants import check_record
from cassiadrum.loads import LoadPlan, LoadSender
from cassiadrum.protocols import HttpClient
from cassiadrum.sites import LocalSite
from cassiadrum.standins import answer_tokens

EXAMPLES = Path(__file__).parents[2] / "examples"
SERVICES = ("sprachdienst", "permit-register")


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    site = LocalSite([(EXAMPLES / f"{name}.toml").read_text() for name in SERVICES], entries=2)
    await site.start()
    yield site
    await site.drain()
    await site.close()


def make_client(site: LocalSite, number: int = 0) -> HttpClient:
    host, _, port = site.entry_address(number).rpartition(":")
    return HttpClient(host, int(port))


class TestRequestPath:
    """Guards against a request that does not get from the caller to the endpoint and back.

    A bad request must be refused before it runs, and a repeated once-only call must not run again
    at another entry instance.
    """

    async def test_raw_request_gets_a_stream(self, site: LocalSite) -> None:
        host, _, port = site.entry_address().rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps({"prompt": "yoke", "stream": True}).encode()
        head = (
            "POST /services/sprachdienst/v1/completions HTTP/1.1\r\nhost: a\r\n"
            f"connection: close\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = (await reader.read()).decode()
        writer.close()
        assert answer.startswith("HTTP/1.1 200")
        assert "data: [DONE]" in answer
        assert all(token in answer for token in answer_tokens("yoke"))

    @pytest.mark.parametrize(
        ("target", "body", "status", "reason"),
        [
            ("/services/nowhere/x", b"", 404, "unknown_service"),
            ("/services/sprachdienst/v1/completions", b"{", 400, "bad_request"),
            ("/services/sprachdienst/v1/completions", b"{}", 400, "bad_request"),
            ("/services/permit-register/nowhere", b"{}", 404, "unknown_class"),
            ("/services/sprachdienst/v1/../control/cancel", b"{}", 400, "bad_request"),
            ("/services/sprachdienst/v1/%2e%2e/control/cancel", b"{}", 400, "bad_request"),
            ("/services/permit-register/permits", b"{}", 400, "key_required"),
        ],
    )
    async def test_bad_request_is_refused_as_not_run(
        self, site: LocalSite, target: str, body: bytes, status: int, reason: str
    ) -> None:
        response = await make_client(site).request("POST", target, (), body)
        problem = json.loads(await response.read())
        assert (response.status, problem["reason"], problem["ran"]) == (status, reason, "no")

    async def test_same_key_at_another_entry_instance_runs_once(self, site: LocalSite) -> None:
        headers = (("idempotency-key", "permit-7"), ("x-customer", "organiser"))
        answers = []
        for number in (0, 1):
            response = await make_client(site, number).request(
                "POST", "/services/permit-register/permits", headers, b"{}"
            )
            answers.append((response.status, await response.read()))
        assert answers[0] == answers[1]
        runs = [run for endpoint in site.endpoints for run in endpoint.standin.runs if run["key"]]
        assert len(runs) == 1

    async def test_mixed_load_violates_no_invariant(self, site: LocalSite) -> None:
        addresses = [entry.addresses["http"] for entry in site.entries]
        sender = LoadSender(addresses, site.documents, seed=3)
        await sender.run(LoadPlan.uniform_mix(site.documents, 60.0, 1.5, seed=3))
        await site.drain()
        record = site.record(sender.outcomes)
        assert record.missing_events == 0
        assert check_record(record) == []
        assert sum(result.answered for result in sender.results.values()) == len(sender.outcomes)
