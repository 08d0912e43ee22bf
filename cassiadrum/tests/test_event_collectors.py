"""Tests of the harness's event collector."""

import asyncio
from typing import Any

from cassiadrum.events import EventKind, EventRing, HybridLogicalClock, encode_event
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.tests.harness.event_collectors import EventCollector


class TestEventCollector:
    """Guards against events of another process that reuses the port of one that has ended.

    The start id in each answer identifies the process.
    """

    async def test_events_of_another_process_end_the_collection(self) -> None:
        ring = EventRing(HybridLogicalClock(lambda: 1.0), "entry-1", "entry", "one")
        ring.record(EventKind.PROCESS_STARTED)
        answers: list[dict[str, Any]] = []

        async def handle(exchange: Exchange) -> None:
            start_id = "two" if answers else "one"
            events = [encode_event(event) for event in ring.read_after(0, 10)]
            answers.append({"events": events, "start_id": start_id})
            await exchange.send_json(200, answers[-1])

        server = HttpServer(handle)
        collector = EventCollector(f"127.0.0.1:{await server.start('127.0.0.1', 0)}")
        async with asyncio.timeout(10.0):
            await collector._task
        assert (len(answers), len(collector.events)) == (2, 1)
        await collector.close()
        await server.abort()
