"""Tests of the load tool."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from xml.etree import ElementTree

import pytest

from cassiadrum.invariants import Violation
from cassiadrum.loads import (
    LoadMix,
    LoadOptions,
    LoadPlan,
    LoadSender,
    MixError,
    load_mix,
    render_page,
    send_load,
)
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.sites import LocalSite

EXAMPLES = Path(__file__).parents[2] / "examples"
MIXES = ("load-foundries.toml", "load-collective.toml")


@pytest.fixture
def mix() -> LoadMix:
    return load_mix(EXAMPLES / MIXES[0])


class TestLoadMix:
    """Guards against a mistake in a mix file that is noticed only by an odd result.

    A misspelt key or class, or a value out of range, must be an error that names the key.
    """

    @pytest.mark.parametrize("name", MIXES)
    def test_example_covers_every_class(self, name: str) -> None:
        parsed = load_mix(EXAMPLES / name)
        class_names = {(rate.service, rate.name) for rate in parsed.rates}
        assert class_names == {
            (doc.name, cls.name) for doc in parsed.documents for cls in doc.classes
        }
        assert parsed.bursts

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ("duration_s = 8.0", "duration = 8.0", "load.duration"),
            ("rate_per_s = 6.0", "rate_per_s = -1.0", "class[0].rate_per_s"),
            ('name = "invoice"', 'name = "bill"', "class[3].name"),
            ("factor = 4.0", 'factor = "4"', "burst[0].factor"),
            ("large_customers = 3", "large_customers = 11", "load.large_customers"),
            ('"sprachdienst.toml"', '"nowhere.toml"', "load.documents[0]"),
            ("[load]", "[load", "(syntax)"),
        ],
    )
    def test_error_names_the_key(self, tmp_path: Path, old: str, new: str, path: str) -> None:
        for name in ("sprachdienst.toml", "auftragsdienst.toml"):
            (tmp_path / name).write_text((EXAMPLES / name).read_text())
        file = tmp_path / "mix.toml"
        file.write_text((EXAMPLES / MIXES[0]).read_text().replace(old, new, 1))
        with pytest.raises(MixError) as caught:
            load_mix(file)
        assert path in [finding.path for finding in caught.value.findings]


class TestLoadPlan:
    """Guards against arrivals that depend on more than the seed or miss the stated rates.

    Two runs with one seed could then not be compared, and a burst would not be the load that the
    mix file states.
    """

    def test_same_seed_gives_the_same_plan(self, mix: LoadMix) -> None:
        assert LoadPlan.from_mix(mix, 7) == LoadPlan.from_mix(mix, 7)
        assert LoadPlan.from_mix(mix, 7) != LoadPlan.from_mix(mix, 8)

    def test_rates_and_bursts(self, mix: LoadMix) -> None:
        plan = LoadPlan.from_mix(mix, 3, scale=100.0)
        burst = mix.bursts[0]
        count_by_burst = Counter[bool]()
        for req in plan.requests:
            if req.class_name == burst.name:
                count_by_burst[burst.start_s <= req.at_s < burst.start_s + burst.duration_s] += 1
        assert count_by_burst[True] == pytest.approx(
            600 * burst.factor * burst.duration_s, rel=0.1
        )
        assert count_by_burst[False] == pytest.approx(600 * (8.0 - burst.duration_s), rel=0.1)
        assert [req.at_s for req in plan.requests] == sorted(req.at_s for req in plan.requests)

    def test_large_customers_send_their_share(self, mix: LoadMix) -> None:
        plan = LoadPlan.from_mix(mix, 3, scale=50.0)
        sent = Counter(req.customer for req in plan.requests)
        large = sum(sent[f"customer-{number}"] for number in (1, 2, 3))
        assert len(sent) == mix.customers
        assert large / len(plan.requests) == pytest.approx(mix.large_share, abs=0.05)


class TestCoordinatedOmission:
    """Guards against coordinated omission: latencies without the wait behind a stalled answer.

    It comes about when the sender waits for one answer before it sends the next request, or
    measures from the time of sending instead of the planned arrival.
    """

    async def test_latency_counts_from_the_planned_arrival(self, mix: LoadMix) -> None:
        async def answer(exchange: Exchange) -> None:
            await exchange.send_json(200, {})

        server = HttpServer(answer)
        port = await server.start("127.0.0.1", 0)
        sender = LoadSender([f"127.0.0.1:{port}"], mix.documents, 1)
        order_status = next(
            r for r in LoadPlan.from_mix(mix, 1).requests if r.class_name == "order-status"
        )
        await sender.run(LoadPlan((order_status._replace(at_s=-1.0),)))
        await server.abort()
        row = sender.results["auftragsdienst", "order-status"].as_dict()
        assert row["latency_s"]["max"] >= 1.0

    async def test_arrivals_do_not_wait_for_answers(self, mix: LoadMix) -> None:
        arrived = 0
        all_arrived = asyncio.Event()

        async def answer_after_five(exchange: Exchange) -> None:
            nonlocal arrived
            arrived += 1
            if arrived == 5:
                all_arrived.set()
            await all_arrived.wait()
            await exchange.send_json(200, {})

        server = HttpServer(answer_after_five)
        port = await server.start("127.0.0.1", 0)
        sender = LoadSender([f"127.0.0.1:{port}"], mix.documents, 1)
        orders = [r for r in LoadPlan.from_mix(mix, 1).requests if not r.prompt][:5]
        async with asyncio.timeout(10.0):
            await sender.run(LoadPlan(tuple(req._replace(at_s=0.0) for req in orders)))
        await server.abort()
        assert sum(result.answered for result in sender.results.values()) == 5


class TestAnswersOfPlainServices:
    """Guards against a load that ends at an answer in another format than JSON."""

    async def test_text_is_an_answer(self, mix: LoadMix) -> None:
        async def answer(exchange: Exchange) -> None:
            await exchange.send(200, b"ready", "text/plain")

        server = HttpServer(answer)
        port = await server.start("127.0.0.1", 0)
        sender = LoadSender([f"127.0.0.1:{port}"], mix.documents, 1)
        plan = LoadPlan.from_mix(mix, 1)
        order = next(req for req in plan.requests if not req.prompt)
        await sender.run(LoadPlan((order._replace(at_s=0.0),)))
        await server.abort()
        assert sum(result.answered for result in sender.results.values()) == 1


@pytest.fixture
async def site(mix: LoadMix) -> AsyncIterator[LocalSite]:
    site = LocalSite(list(mix.texts), entries=2)
    await site.start()
    yield site
    await site.drain()
    await site.close()


class TestRunLoad:
    """Guards against a report that omits requests, events or violations, or an unsafe page.

    The report joins the callers' outcomes with the events of all processes. The page contains
    their texts, which must be escaped.
    """

    async def test_report_of_a_site(self, site: LocalSite, mix: LoadMix) -> None:
        short_mix = mix._replace(duration_s=1.5)
        entries = tuple(entry.addresses["http"] for entry in site.entries)
        instances = site.platform_addresses["instance_list"]
        options = LoadOptions(short_mix, entries, 2, 2.0, instances, standins=True)
        report = await send_load(options)
        plan = LoadPlan.from_mix(short_mix, 2, 2.0)
        rows = [row for classes in report.services.values() for row in classes.values()]
        assert sum(row["sent"] for row in rows) == len(plan.requests)
        assert sum(row["answered"] for row in rows) == len(plan.requests)
        assert (report.violations, report.missing_events) == ([], 0)
        assert report.tokens_wasted == 0
        assert report.checked == "events"
        assert json.loads(report.as_json())["services"].keys() == {
            doc.name for doc in site.documents
        }

    async def test_page_is_self_contained_and_escaped(self, site: LocalSite, mix: LoadMix) -> None:
        entries = tuple(entry.addresses["http"] for entry in site.entries)
        report = await send_load(LoadOptions(mix._replace(duration_s=0.5), entries))
        assert report.violations is None
        found_violations = [Violation("once_only", "<script>ran twice</script>")]
        page = render_page(report._replace(violations=found_violations))
        svg = page[page.index("<svg") : page.index("</svg>") + 6]
        assert ElementTree.fromstring(svg).findall(".//{http://www.w3.org/2000/svg}circle")
        assert "<script" not in page
        assert "src=" not in page
        assert "href=" not in page
        assert "once_only" in report._replace(violations=found_violations).as_text()
