"""Several gateway processes on one site."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from cassiadrum.platform.headers import Header
from cassiadrum.protocols import HttpError
from cassiadrum.tests.gateways.conftest import GatewaySubprocess, free_port
from cassiadrum.tests.gateways.sites import (
    Caller,
    PlatformSite,
    make_settings,
    poll_until,
    write_settings,
)

# The users' rule: in each window, an endpoint gets at most this multiple of its limit and these
# requests.
WINDOW_S = 4.0
LIMIT_MULTIPLE = 1.5
ADDITIONAL_REQUESTS = 5


class CallRecord(NamedTuple):
    """A call of a gateway's callers that was answered; times are monotonic seconds.

    `endpoint` is empty if the answer is not an endpoint's.
    """

    calls_port: int
    status: int
    endpoint: str
    begun_s: float
    ended_s: float


class GatewayFleet:
    """Gateway processes of one site, each with callers that send requests at a steady rate."""

    def __init__(self, site: PlatformSite, directory: Path) -> None:
        self.gateways: list[GatewaySubprocess] = []
        self.records: list[CallRecord] = []
        self._site = site
        self._directory = directory
        self._callers: list[asyncio.Task[None]] = []

    @property
    def statuses(self) -> list[int]:
        """Return the statuses of all answers."""
        return [record.status for record in self.records]

    @property
    def refusal_times_s(self) -> list[float]:
        """Return the times in seconds that refusals took."""
        return [record.ended_s - record.begun_s for record in self.records if record.status == 503]

    async def start(self, count: int) -> None:
        """Start further gateways and wait until they are ready."""
        started = [await self.add() for _ in range(count)]
        for run in started:
            await run.wait_ready()

    async def add(self) -> GatewaySubprocess:
        """Start a gateway."""
        number = len(self.gateways)
        ports = free_port(), free_port()
        path = self._directory / f"boot-{number}.json"
        write_settings(path, make_settings(self._site.store_port, *ports, f"front-a-{number}"))
        run = GatewaySubprocess(path, *ports, self._directory / f"gateway-{number}.log")
        self.gateways.append(run)
        await run.start()
        return run

    def send(self, run: GatewaySubprocess, path: str, per_s: float, **headers: Any) -> None:
        """Send requests to a gateway in the background until `close`."""
        self._callers.append(asyncio.create_task(self._send(run, path, per_s, headers)))

    async def tell_all(self, path: str, endpoint: str, **headers: Any) -> None:
        """Send requests to each gateway until it has had an answer of the endpoint."""
        for run in self.gateways:
            caller = Caller(run.calls_port)

            async def answered(caller: Caller = caller) -> bool:
                _, found, _ = await caller.call(path, **headers)
                return _signer(found) == endpoint

            await poll_until(answered)
            caller.close()

    async def close(self) -> None:
        """Stop the callers and kill the gateways."""
        for task in self._callers:
            task.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        for run in self.gateways:
            await run.kill()

    async def _send(
        self, run: GatewaySubprocess, path: str, per_s: float, headers: dict[str, Any]
    ) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            while True:
                tasks.create_task(self._call(run, path, headers))
                due_s += 1 / per_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))

    async def _call(self, run: GatewaySubprocess, path: str, headers: dict[str, Any]) -> None:
        caller = Caller(run.calls_port)
        started_s = time.monotonic()
        try:
            request_id = f"{run.calls_port}-{started_s}"
            status, found, _ = await caller.call(path, request_id=request_id, **headers)
        except (OSError, HttpError):
            # A gateway that the test stops.
            return
        finally:
            caller.close()
        self.records.append(
            CallRecord(run.calls_port, status, _signer(found), started_s, time.monotonic())
        )


def _signer(headers: Mapping[str, str]) -> str:
    """Return the name of the endpoint that signed an answer, empty if none did."""
    return headers.get(Header.SIGNATURE, "").removeprefix("signed-by-")


@contextlib.asynccontextmanager
async def running_fleet(
    site: PlatformSite, directory: Path, count: int
) -> AsyncIterator[GatewayFleet]:
    """Run a number of gateways."""
    fleet = GatewayFleet(site, directory)
    try:
        await fleet.start(count)
        yield fleet
    finally:
        await fleet.close()


def most_arrivals(arrivals: Sequence[float], since_s: float) -> int:
    """Return the largest number of arrivals in a window that begins at `since_s` or later."""
    times = [at_s for at_s in arrivals if at_s >= since_s]
    return max(
        (sum(at_s <= other < at_s + WINDOW_S for other in times) for at_s in times), default=0
    )


def permitted(limit_per_s: float) -> float:
    """Return the requests that an endpoint with a limit may get in a window."""
    return LIMIT_MULTIPLE * limit_per_s * WINDOW_S + ADDITIONAL_REQUESTS
