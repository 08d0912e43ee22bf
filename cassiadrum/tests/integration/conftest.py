"""Fixtures and assertions of the integration tests."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from cassiadrum.events import merge_events
from cassiadrum.invariants import CallerOutcome, check_record
from cassiadrum.tests.harness import Answer, ProcessSite, StreamCaller, call

# Events in the text of a failure, and the time after which all processes were asked for theirs.
EVENTS = 60
EVENT_DELAY_S = 2.0

MakeSite = Callable[..., Awaitable[ProcessSite]]

LONG_PROMPT = "assessment 4"
# The retry budget grows with the number of requests; at 0.1, the few requests of a test do not
# earn a retry.
FULL_RETRY_BUDGET = (
    ("retry_budget = 0.1", "retry_budget = 1.0"),
    # The classes of the plain service have the default of 0.1.
    (r'methods = \["GET"\]', 'methods = ["GET"]\nretry_budget = 1.0'),
)
# Shortens the time after which a silent endpoint is abandoned to about 10 s for all classes.
SHORT_DEADLINES = (
    (r"(cancellable = false\n.*\n)deadline_s = 60\.0", r"\1deadline_s = 12.0\nmax_wait_s = 10.0"),
    (r"target_total_s = 30\.0", "target_total_s = 3.0"),
    (r"target_first_token_s = .*", "target_first_token_s = 3.0\ntarget_total_s = 3.0"),
)


@pytest.fixture
async def make_site(tmp_path: Path) -> AsyncIterator[MakeSite]:
    """Return a function that starts a site; its processes are ended after the test."""
    sites: list[ProcessSite] = []

    async def make(**options: Any) -> ProcessSite:
        directory = tmp_path / f"site-{len(sites)}"
        directory.mkdir()
        site = ProcessSite(directory, **options)
        sites.append(site)
        await site.start()
        return site

    yield make
    for site in sites:
        await site.close()


async def assert_invariants_hold(
    site: ProcessSite, outcomes: Sequence[CallerOutcome] = ()
) -> None:
    """Stop the site gracefully and assert that its record violates no invariant."""
    record = await site.finish(list(outcomes))
    assert record.missing_events == 0
    assert [str(violation) for violation in check_record(record)] == []


async def describe(site: ProcessSite, answers: Sequence[Answer]) -> str:
    """Return the refusals among answers, and what the processes recorded since the last one."""
    refused = [f"{answer.status} {answer.body!r}" for answer in answers if answer.status >= 400]
    # The processes are asked for their events at intervals.
    await asyncio.sleep(EVENT_DELAY_S)
    events = merge_events(site.events()).events[-EVENTS:]
    lines = [f"{one.instance} {one.kind.value} {one.request_id} {one.fields}" for one in events]
    return "\n".join([*refused, *lines])


async def assert_services_are_available(site: ProcessSite) -> None:
    """Assert that each entry instance serves all classes of both services after a fault."""
    for number, entry in enumerate(site.entries):
        address = site.children[entry].ready["http"]
        for _ in range(3):
            stream = StreamCaller.completion(address, f"after {number}")
            assert (await stream.answer()).body.endswith(b"data: [DONE]\n\n")
        chat = StreamCaller.chat(address, f"feast after {number}")
        assert (await chat.answer()).body.endswith(b"data: [DONE]\n\n")
        key = {"idempotency-key": f"after-{number}"}
        issued = await call(address, "POST", "/services/permit-register/permits", key, b"{}")
        checked = await call(address, "GET", "/services/permit-register/permits/1")
        exported = await call(address, "GET", "/services/permit-register/export/1")
        answers = issued, checked, exported
        statuses = [answer.status for answer in answers]
        assert statuses == [201, 200, 200], await describe(site, answers)
