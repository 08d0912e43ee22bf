"""A site whose engines end as they begin the answer to a request with certain content."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable, Sequence
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

from cassiadrum.platform.headers import Header
from cassiadrum.platform.standins import EndpointService
from cassiadrum.protocols import Exchange, HttpClient, HttpError
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.fleets import GatewayFleet
from cassiadrum.tests.gateways.sites import PlatformSite, make_configuration

# `contact_ms` in the settings of the test sites.
CONTACT_S = 1.5
# The users' rule: at most this many requests with a harmful part reach endpoints later than
# `CONTACT_S` after the fifth crash.
MAX_CRASHES = 5
MAX_LATE = 3
PREFILL_S = 0.04
BEGIN_S = 0.05
RETURN_S = 0.8
# Time after which the registration of an endpoint that ended expires.
LAPSE_S = 0.5
EVENTS = 4
HALF_EVENT = b"id: 1\nda"
STREAM_HEADERS = (("content-type", "text/event-stream"),)


class CrashStage(Enum):
    """What an engine has sent of the answer when it ends."""

    NOTHING = "nothing"
    HEAD = "head"
    HALF_EVENT = "half event"
    # The same of an answer with neither a length nor chunks.
    BARE_HEAD = "bare head"
    BARE_HALF_EVENT = "half event after a bare head"


class CrashingEndpoint(EndpointService):
    """An engine that ends as it begins the answer to a request for which `is_harmful` is true."""

    def __init__(
        self,
        instance: str,
        is_harmful: Callable[[Exchange], bool],
        stage: CrashStage,
        on_crash: Callable[["CrashingEndpoint"], None],
        events: int = 0,
    ) -> None:
        super().__init__(instance, slots=64, event_interval_s=0.02)
        self._is_harmful = is_harmful
        self._stage = stage
        self._on_crash = on_crash
        # Whole events of a harmful answer that are sent first.
        self._events = events
        self.ended = False

    async def _run(self, exchange: Exchange, request_id: str) -> None:
        await asyncio.sleep(PREFILL_S)
        if not self._is_harmful(exchange):
            await super()._run(exchange, request_id)
            return
        await self._begin(exchange, request_id)
        await asyncio.sleep(BEGIN_S)
        self.end()
        await exchange.disconnected.wait()

    async def _begin(self, exchange: Exchange, request_id: str) -> None:
        signature = f"signed-by-{self.instance}"
        head = ((Header.REQUEST_ID, request_id), (Header.SIGNATURE, signature), *STREAM_HEADERS)
        if self._stage in (CrashStage.HEAD, CrashStage.HALF_EVENT):
            await exchange.send_head(200, head)
        first = int(exchange.req.header(Header.LAST_EVENT_ID) or "0") + 1
        for number in range(first, first + self._events):
            await exchange.send_data(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(BEGIN_S)
        if self._stage is CrashStage.HALF_EVENT:
            await exchange.send_data(HALF_EVENT)
        if self._stage in (CrashStage.BARE_HEAD, CrashStage.BARE_HALF_EVENT):
            # The server would add chunks.
            lines = "".join(f"{name}: {value}\r\n" for name, value in head)
            rest = HALF_EVENT if self._stage is CrashStage.BARE_HALF_EVENT else b""
            exchange._writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + rest)

    def end(self) -> None:
        """End the process: its connections break, and its address refuses new ones."""
        if not self.ended:
            self.ended = True
            self._on_crash(self)


class SentCall(NamedTuple):
    """A call of a caller and its answer; times are monotonic seconds."""

    request_id: str
    gateway: int
    begun_s: float
    ended_s: float
    status: int
    body: bytes
    retry_after_s: float


def prompt_header(parts: Sequence[str]) -> str:
    """Return the header of a prompt with the given parts."""
    return ",".join(f"{part}:{40 + number}" for number, part in enumerate(parts))


def part_ids(exchange: Exchange) -> list[str]:
    """Return the shared parts of a request's prompt."""
    text = exchange.req.header(Header.PROMPT_PARTS)
    return [item.partition(":")[0] for item in text.split(",")][:-1]


class CrashingSite(PlatformSite):
    """A store and `count` engines in zones `a` and `b`; one that ends is replaced."""

    def __init__(
        self,
        is_harmful: Callable[[Exchange], bool],
        *,
        count: int = 4,
        stage: CrashStage = CrashStage.HEAD,
        events: int = 0,
    ) -> None:
        super().__init__()
        self._is_harmful = is_harmful
        self._stage = stage
        self._events = events
        self._count = count
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        # Engines that have ended, in order, with the times in monotonic seconds.
        self.crashes: list[tuple[float, str]] = []
        self.retired: list[EndpointService] = []
        self.zones: dict[str, str] = {}

    async def start(self) -> None:
        """Start the store and the engines."""
        self.store_port = await self.store.start()
        self.endpoints.clear()
        for number in range(self._count):
            await self.launch("ab"[number % 2])
        self.store.put("op", "config", make_configuration())

    def register(self, name: str, state: str = "ready") -> None:
        """Write an engine's registration."""
        entry = self.endpoints[name].entry("engine", state=state, zone=self.zones[name])
        self.store.put("servers", name, entry)

    async def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().close()

    def configuration(self) -> dict[str, Any]:
        """Return a copy of the first configuration."""
        return make_configuration()

    def crash_zone(self, zone: str) -> None:
        """End all engines of a zone at once, for another reason than a request."""
        for name, endpoint in list(self.endpoints.items()):
            if self.zones[name] == zone:
                assert isinstance(endpoint, CrashingEndpoint)
                endpoint.end()

    def harmful_arrivals(self, part: str) -> list[float]:
        """Return the times at which engines got requests with a part, in order."""
        return sorted(
            run.at_s
            for endpoint in (*self.retired, *self.endpoints.values())
            for run in endpoint.runs
            if f"{part}:" in run.headers.get(Header.PROMPT_PARTS, "")
        )

    def late_arrivals(self, part: str) -> list[float]:
        """Return the arrivals that the users' rule counts; empty with fewer than five crashes."""
        if len(self.crashes) < MAX_CRASHES:
            return []
        due_s = self.crashes[MAX_CRASHES - 1][0] + CONTACT_S
        return [at_s for at_s in self.harmful_arrivals(part) if at_s > due_s]

    async def launch(self, zone: str) -> None:
        """Start an engine, and register it."""
        name = f"e-{next(self._numbers)}"
        endpoint = CrashingEndpoint(
            name, self._is_harmful, self._stage, self._crashed, self._events
        )
        await endpoint.start()
        self.endpoints[name] = endpoint
        self.zones[name] = zone
        self.register(name)

    def _crashed(self, endpoint: CrashingEndpoint) -> None:
        self.crashes.append((time.monotonic(), endpoint.instance))
        task = asyncio.create_task(self._replace(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, endpoint: CrashingEndpoint) -> None:
        await endpoint.close()
        del self.endpoints[endpoint.instance]
        self.retired.append(endpoint)
        await asyncio.sleep(LAPSE_S)
        self.store.remove("servers", endpoint.instance)
        await asyncio.sleep(RETURN_S - LAPSE_S)
        await self.launch(self.zones[endpoint.instance])


class PromptCaller:
    """Sends requests with prompts to the gateways of a fleet, each on its own connection."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self.calls: list[SentCall] = []
        self._fleet = fleet
        self._numbers = itertools.count()

    async def call(
        self,
        gateway: int,
        parts: Sequence[str],
        *,
        path: str = "/stream/a",
        payload: str = "",
        **headers: str,
    ) -> SentCall:
        """Send a request; a broken-off answer has status 0.

        Its last part and its body are its own. With a `payload`, all calls are the same request.
        """
        number = next(self._numbers)
        own_part = f"{0 if payload else number:x}00001"
        request_id = f"c-{number}"
        run = self._fleet.gateways[gateway % len(self._fleet.gateways)]
        client = HttpClient("127.0.0.1", run.calls_port)
        lines = {
            Header.REQUEST_ID: request_id,
            Header.TIMEOUT: "3000",
            Header.API_KEY: "key-1",
            Header.TOKENS: f"100,{EVENTS}",
            Header.PROMPT_PARTS: prompt_header([*parts, own_part]),
            **headers,
        }
        begun_s = time.monotonic()
        status, body, retry_after_s = 0, b"", 0.0
        try:
            data = payload.encode() or b"%d" % number
            response = await client.request("POST", path, tuple(lines.items()), data)
            found = dict(response.headers)
            retry_after_s = float(found.get(Header.RETRY_AFTER, "0"))
            status, body = response.status, await response.read()
        except (HttpError, OSError):
            status = 0
        finally:
            client.close()
        sent = SentCall(
            request_id, gateway, begun_s, time.monotonic(), status, body, retry_after_s
        )
        self.calls.append(sent)
        return sent

    async def call_steadily(
        self, parts: Sequence[str], *, per_s: float, for_s: float
    ) -> list[SentCall]:
        """Send requests to the gateways in turn at a steady rate."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        tasks = []
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(max(0.0, started_s + number / per_s - loop.time()))
            tasks.append(asyncio.create_task(self.call(number, parts)))
        return await asyncio.gather(*tasks)


@contextlib.asynccontextmanager
async def crashing_site(
    directory: Path,
    harmful: Sequence[str],
    *,
    gateways: int = 2,
    engines: int = 4,
    stage: CrashStage = CrashStage.HEAD,
    is_harmful: Callable[[Exchange], bool] | None = None,
    events: int = 0,
) -> AsyncIterator[tuple[CrashingSite, GatewayFleet, PromptCaller]]:
    """Run a site whose engines end on prompts with any of the harmful parts.

    With `is_harmful`, they end on the requests for which that returns true, after `events` whole
    events.
    """
    site = CrashingSite(
        is_harmful or (lambda exchange: not set(harmful).isdisjoint(part_ids(exchange))),
        count=engines,
        stage=stage,
        events=events,
    )
    await site.start()
    fleet = GatewayFleet(site, directory)
    try:
        await fleet.start(gateways)
        yield site, fleet, PromptCaller(fleet)
    finally:
        await fleet.close()
        await site.close()


async def restart(run: GatewaySubprocess) -> None:
    """Kill a gateway, start it again and wait until it is ready."""
    await run.replace(run.process)
    await run.wait_ready()


async def read_metrics(run: GatewaySubprocess) -> str:
    """Return the metrics of a gateway as text."""
    client = HttpClient("127.0.0.1", run.metrics_port)
    response = await client.request("GET", "/metrics")
    text = (await response.read()).decode()
    client.close()
    return text
