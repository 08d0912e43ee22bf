"""Once-only calls at endpoints that are processes, one of which is killed as it answers."""

import asyncio
import sys
from pathlib import Path
from typing import Any, NamedTuple

from engine_2 import whole_body
from support_2 import (
    ZONES,
    Answer,
    Caller,
    Endpoint,
    Gateway,
    Request,
    Site,
    configuration,
    with_trouble,
)

GATEWAYS = 3


class Plan(NamedTuple):
    """The size of the site, and when the endpoint is killed, in seconds after the last request.

    With `leaves` it reports `draining` 0.2 s after that.
    """

    endpoints: int
    slots: int
    requests: int
    gap_s: float
    killed_s: float
    leaves: bool


async def never(endpoint: Endpoint, req: Request, writer: asyncio.StreamWriter) -> bool:
    """Run nothing: the endpoint only stands for the registration of the process."""
    raise OSError("not used")


class EndpointProcess:
    """The process of an endpoint, and the registration that it writes."""

    def __init__(self, site: Site, instance: str, zone: str, slots: int) -> None:
        self.entry = Endpoint(instance, "orders", zone, slots, never)
        self._site = site
        self._process: asyncio.subprocess.Process | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and register it."""
        pipe: Any = asyncio.subprocess.PIPE
        script = str(Path(__file__).with_name("engine_2.py"))
        entry = self.entry
        words = (entry.instance, entry.zone, str(entry.slots))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, script, *words, stdin=pipe, stdout=pipe
        )
        assert self._process.stdout is not None
        _, entry.host, port, born = (await self._process.stdout.readline()).decode().split()
        entry.port, entry.born = int(port), int(born)
        self._task = asyncio.create_task(self._copy(self._process.stdout))
        self._site.register(entry)

    async def _copy(self, lines: asyncio.StreamReader) -> None:
        while line := await lines.readline():
            self._site.record.add(f"{self.entry.instance} {line.decode().strip()}")

    def leave(self) -> None:
        """Report `draining` to the store, and say so in all further answers."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(b"leave\n")
        self._site.register(self.entry, "draining")

    async def kill(self) -> None:
        """End the process at once."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


async def send(site: Site, gateway: Gateway, request_id: str) -> Answer:
    """Send one request and return its answer."""
    headers = {
        "X-Cassiadrum-Request-Id": request_id,
        "X-Cassiadrum-Timeout-Ms": "12000",
        "X-Api-Key": "key-1",
    }
    site.record.add(f"sent {request_id}")
    answer = await Caller(gateway.host, gateway.front).send("POST", "/orders/1", headers, b"{}")
    by = answer.header("x-cassiadrum-response-signature")
    body = "whole body" if answer.body == whole_body(request_id) else "another body"
    end = "complete" if answer.whole else "broken off"
    size = len(answer.body)
    site.record.add(
        f"answered {request_id}: {answer.status} signed {by or '-'}, {end}, {size} bytes, {body}"
    )
    return answer


async def play_kill(site: Site, plan: Plan) -> bool:
    """Send requests, kill an endpoint, and return whether each success has the whole body."""
    processes = []
    for number in range(plan.endpoints):
        zone = list(ZONES)[number % len(ZONES)]
        processes.append(EndpointProcess(site, f"i-{number}", zone, plan.slots))
        await processes[-1].start()
    try:
        route = {"name": "orders", "prefix": "/orders/", "kind": "non_idempotent"}
        limits = {"service": "orders", "timeout_ms": 12000, "goal_ms": 5000, "max_attempts": 1}
        site.store.put("op", "config", configuration([{**route, **limits}], ["orders"]))
        await site.add_gateways(GATEWAYS)
        return await _play_requests(site, plan, processes[0])
    finally:
        for process in processes:
            await process.kill()


async def _play_requests(site: Site, plan: Plan, killed: EndpointProcess) -> bool:
    tasks = {}
    for number in range(plan.requests):
        gateway = site.gateways[number % GATEWAYS]
        request_id = f"r-{number}"
        tasks[request_id] = asyncio.create_task(send(site, gateway, request_id))
        await asyncio.sleep(plan.gap_s)
    await asyncio.sleep(0.2)
    instance = killed.entry.instance
    if plan.leaves:
        killed.leave()
        site.record.add(f"the store accepts that {instance} drains; it serves on")
    await asyncio.sleep(plan.killed_s - 0.2)
    if with_trouble():
        await killed.kill()
        site.record.add(f"{instance} is killed")
        await asyncio.sleep(2.0)
        site.unregister(killed.entry)
    answers = {request_id: await task for request_id, task in tasks.items()}
    wrong = [
        request_id
        for request_id, answer in answers.items()
        if 200 <= answer.status < 300 and answer.whole and answer.body != whole_body(request_id)
    ]
    served = sum(answer.status == 200 for answer in answers.values())
    site.record.add(f"{served} successes of {len(answers)} requests")
    site.record.add(f"complete successes without the endpoint's whole body: {wrong}")
    return not wrong
