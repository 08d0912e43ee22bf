"""Callers of streams that take them up again, and endpoints of several software versions."""

import asyncio
import collections
import contextlib
import itertools
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from cassiadrum.platform.headers import Header
from cassiadrum.platform.standins import EndpointService
from cassiadrum.tests.gateways.fleets import GatewayFleet
from cassiadrum.tests.gateways.sites import PlatformSite, make_open_configuration, wait_until

EVENTS = 40
EVENT_INTERVAL_S = 0.05
SLOTS = 64
TIMEOUT_MS = 15_000
# Pause of a caller whose connection broke or was refused.
RETRY_S = 0.1
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")
RETRY_AFTER = re.compile(rb"(?i)\r\nretry-after: ([0-9.]+)")


class VersionedEndpoint(EndpointService):
    """An endpoint whose events name its software version."""

    def event_data(self, number: int) -> str:
        """Return the version and the number."""
        return f"{self.version} {number}"


class VersionedSite(PlatformSite):
    """The stand-ins of the store and of endpoints of several software versions."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints = {}
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start the store with a configuration without customers."""
        await super().start()
        configuration = make_open_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        self.store.put("op", "config", configuration)

    async def add(self, version: str, count: int = 3) -> list[str]:
        """Start and register endpoints of a version; return their names."""
        names = [f"e-{version}-{next(self._numbers)}" for _ in range(count)]
        for name in names:
            self.endpoints[name] = VersionedEndpoint(
                name, slots=SLOTS, event_interval_s=EVENT_INTERVAL_S, version=version
            )
            await self.endpoints[name].start()
            self.register(name)
        return names

    async def start_again(self, name: str, version: str) -> None:
        """End an endpoint and start it again with another version; its registration stays."""
        old = self.endpoints[name]
        host, _, port = old.address.rpartition(":")
        await old.close()
        endpoint = VersionedEndpoint(
            name, slots=SLOTS, event_interval_s=EVENT_INTERVAL_S, version=version
        )
        endpoint.born = old.born + 1
        await endpoint.start(host, int(port))
        self.endpoints[name] = endpoint

    async def leave(self, version: str) -> None:
        """End the endpoints of a version and remove their registrations."""
        for name, endpoint in list(self.endpoints.items()):
            if endpoint.version == version:
                self.store.remove("servers", name)
                await endpoint.close()
                del self.endpoints[name]


@dataclass
class TakenUpStream:
    """One stream of a caller over all of its tries.

    `versions` are those of its events in order, `statuses` those of all answers. `begun_by` is
    the id of the try that brought the first event.
    """

    number: int
    versions: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    begun_by: str = ""
    tries: int = 0
    complete: bool = False
    # Times of the answers that refused the stream, from the try that they answer.
    refusal_times_s: list[float] = field(default_factory=list)

    @property
    def is_mixed(self) -> bool:
        """Return whether it has events of several versions."""
        return len(set(self.versions)) > 1


class StreamCaller:
    """Callers that read streams from any of the gateways and take up those that break off.

    A caller closes the connection itself after each number of events in `break_after`, counted
    over all tries. `resumes` tells whether take-ups name the try that brought the first event.
    """

    def __init__(
        self,
        ports: Sequence[int],
        *,
        break_after: Sequence[int] = (),
        deadline_s: float = 10.0,
        resumes: bool = True,
    ) -> None:
        self.streams: list[TakenUpStream] = []
        self._ports = ports
        self._break_after = break_after
        self._deadline_s = deadline_s
        self._resumes = resumes
        self._tasks: list[asyncio.Task[None]] = []
        # Gateways are expected to be gone, so callers wait for this before they try again.
        self.may_retry = asyncio.Event()
        self.may_retry.set()

    def start(self, count: int) -> None:
        """Begin streams in the background."""
        for _ in range(count):
            stream = TakenUpStream(len(self.streams))
            self.streams.append(stream)
            self._tasks.append(asyncio.create_task(self._run(stream)))

    async def wait_for_events(self, count: int) -> None:
        """Wait until each stream has a number of events."""
        await wait_until(lambda: all(len(stream.versions) >= count for stream in self.streams))

    async def finish(self) -> list[TakenUpStream]:
        """Return all streams when they have ended or their callers have given up."""
        await asyncio.gather(*self._tasks)
        return self.streams

    async def _run(self, stream: TakenUpStream) -> None:
        end_s = time.monotonic() + self._deadline_s
        breaks = list(self._break_after)
        while not stream.complete and time.monotonic() < end_s:
            await self.may_retry.wait()
            port = self._ports[(stream.number + stream.tries) % len(self._ports)]
            stream.tries += 1
            pause_s = RETRY_S
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(max(0.0, end_s - time.monotonic())):
                    pause_s = await self._try(stream, port, breaks)
            if not stream.complete:
                await asyncio.sleep(pause_s)

    async def _try(self, stream: TakenUpStream, port: int, breaks: list[int]) -> float:
        """Read a stream's events from a gateway; return the pause before the next try."""
        request_id = f"s{stream.number}-{stream.tries}"
        started_s = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(self._request(stream, request_id))
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            stream.statuses.append(status)
            if status != 200:
                stream.refusal_times_s.append(time.monotonic() - started_s)
                found = RETRY_AFTER.search(head)
                return max(RETRY_S, float(found[1]) if found else 0.0)
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data = await reader.readexactly(size + 2)
                for number, version in EVENT.findall(data):
                    assert int(number) == len(stream.versions) + 1
                    stream.begun_by = stream.begun_by or request_id
                    stream.versions.append(version.decode())
                if breaks and len(stream.versions) >= breaks[0]:
                    breaks.pop(0)
                    return 0.0
            stream.complete = True
            return 0.0
        finally:
            writer.close()

    def _request(self, stream: TakenUpStream, request_id: str) -> bytes:
        lines = [
            "POST /stream/a HTTP/1.1",
            "host: 127.0.0.1",
            f"{Header.REQUEST_ID}: {request_id}",
            f"{Header.TIMEOUT}: {TIMEOUT_MS}",
            f"{Header.TOKENS}: 100,{EVENTS}",
            f"{Header.PROMPT_PARTS}: aa:80,bb{stream.number}:20",
            "content-length: 2",
        ]
        if stream.versions:
            lines.append(f"{Header.LAST_EVENT_ID}: {len(stream.versions)}")
            if self._resumes:
                lines.append(f"resumes: {stream.begun_by}")
        return "\r\n".join((*lines, "", "{}")).encode()


class VersionedFleet(GatewayFleet):
    """Gateways in front of endpoints of several versions."""

    def __init__(self, site: VersionedSite, directory: Path) -> None:
        super().__init__(site, directory)
        self.site = site

    @property
    def ports(self) -> list[int]:
        """Return the ports at which the gateways serve callers."""
        return [run.calls_port for run in self.gateways]

    async def kill_all(self) -> None:
        """Kill all gateways at once."""
        await asyncio.gather(*(run.kill() for run in self.gateways))

    async def stop_all(self) -> None:
        """Stop all gateways by SIGTERM and wait for their ends."""
        for run in self.gateways:
            run.process.terminate()
        await asyncio.gather(*(run.process.wait() for run in self.gateways))

    async def restart_all(self) -> None:
        """Start all gateways again and wait until they are ready."""
        await asyncio.gather(*(run.start() for run in self.gateways))
        await asyncio.gather(*(run.wait_ready() for run in self.gateways))


def mixed(streams: Sequence[TakenUpStream]) -> list[str]:
    """Return a line for each stream that has events of several versions."""
    return [
        f"stream {stream.number}: {dict(collections.Counter(stream.versions))}"
        for stream in streams
        if stream.is_mixed
    ]


def complete_of(streams: Sequence[TakenUpStream], version: str) -> list[bool]:
    """Return for each stream that began at a version whether it went on to its end."""
    return [stream.complete for stream in streams if stream.versions[:1] == [version]]
