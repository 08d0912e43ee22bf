"""Randomized soak of gateways that share the request limit of an endpoint."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from cassiadrum.platform.standins import EndpointRun, StoreFault
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.fleets import (
    WINDOW_S,
    CallRecord,
    GatewayFleet,
    permitted,
    running_fleet,
)
from cassiadrum.tests.gateways.sites import PlatformSite, make_open_configuration

GATEWAYS = (2, 5)
FURTHER_GATEWAYS = 3
LIMITS_PER_S = (1.0, 2.0, 5.0, 12.0)
LIMIT_PERIODS = 2
PERIOD_S = 9.0
REQUESTS_PER_S = 15.0
FAULT_INTERVAL_S = (0.2, 1.2)
FAULT_DURATION_S = (0.3, 2.5)
# Time after a change of the limit from which the users' rule applies.
CHANGE_S = 2.0
# Time from which a gateway that has passed on an answer with the limit has to keep it.
TOLD_S = 0.5
# A process that does not know the configuration yet, or cannot confirm it, refuses requests.
ANSWER_STATUSES = (200, 503)
# An attempt failed, and the deadline was reached.
FAILED_STATUS = 502
DEADLINE_STATUS = 504
# The test's process, which is the endpoints as well, was silent if its event loop was late by this
# time; gateways leave a silent endpoint, and only some of them may retry elsewhere.
STALL_S = 0.2
STALL_TICK_S = 0.05


class LimitPeriod(NamedTuple):
    """A time in monotonic seconds in which the endpoint stated one limit."""

    limit_per_s: float
    begun_s: float
    ended_s: float


class Stall(NamedTuple):
    """A time in monotonic seconds in which a process did not run."""

    begun_s: float
    ended_s: float

    def overlaps(self, record: CallRecord) -> bool:
        """Return whether a call was in progress at that time."""
        return self.begun_s < record.ended_s and record.begun_s < self.ended_s


class LimitSoak:
    """Gateways start, stop, freeze and lose the store while an endpoint changes its limit."""

    def __init__(self, seed: int, directory: Path) -> None:
        self._rng = random.Random(seed)
        self._directory = directory
        self._site = PlatformSite()
        self._periods: list[LimitPeriod] = []
        # Stalls of the test's process, and of gateways by their port.
        self._stalls: list[Stall] = []
        self._freezes: dict[int, list[Stall]] = {}
        self._faults: list[Callable[[GatewayFleet], Awaitable[None]]] = [
            self._add_gateway,
            self._kill_gateway,
            self._stop_gateway,
            self._freeze_gateway,
            self._store_fault,
            self._restore_store,
        ]
        self.injected: list[str] = []
        self.arrivals = 0

    async def run(self) -> list[str]:
        """Run and return the violated guarantees."""
        await self._site.start()
        self._site.store.put("op", "config", make_open_configuration(2))
        try:
            count = self._rng.randint(*GATEWAYS)
            async with running_fleet(self._site, self._directory, count) as fleet:
                for gateway in fleet.gateways:
                    fleet.send(gateway, "/safe/a", REQUESTS_PER_S)
                stall_watch = asyncio.create_task(self._watch_stalls())
                faults = asyncio.create_task(self._inject(fleet))
                for _ in range(LIMIT_PERIODS):
                    await self._state_limit()
                stall_watch.cancel()
                faults.cancel()
                # Raises the error of a fault that ended the others early.
                with contextlib.suppress(asyncio.CancelledError):
                    await faults
                return self._find_violations(fleet)
        finally:
            await self._site.close()

    async def _state_limit(self) -> None:
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        begun_s = time.monotonic()
        self._site.endpoints["p-1"].limit = f"{limit_per_s}"
        await asyncio.sleep(PERIOD_S)
        self._periods.append(LimitPeriod(limit_per_s, begun_s, time.monotonic()))

    async def _watch_stalls(self) -> None:
        while True:
            begun_s = time.monotonic()
            await asyncio.sleep(STALL_TICK_S)
            now = time.monotonic()
            if now - begun_s > STALL_TICK_S + STALL_S:
                self._stalls.append(Stall(begun_s, now))

    def _find_violations(self, fleet: GatewayFleet) -> list[str]:
        self.arrivals = len(self._site.endpoints["p-1"].arrivals)
        violations = [
            f"answer {record.status}"
            for record in fleet.records
            if record.status not in ANSWER_STATUSES and not self._is_excused(record)
        ]
        for period in self._periods:
            violations += self._find_excess(fleet, period)
        return violations

    def _is_excused(self, record: CallRecord) -> bool:
        """Return whether a call failed because a process stood still.

        An attempt may fail while the test's process does not play the endpoints, and the deadline
        may be reached while the gateway is frozen.
        """
        stalls: list[Stall] = []
        if record.status == FAILED_STATUS:
            stalls = self._stalls
        elif record.status == DEADLINE_STATUS:
            stalls = self._freezes.get(record.calls_port, [])
        return any(stall.overlaps(record) for stall in stalls)

    def _find_excess(self, fleet: GatewayFleet, period: LimitPeriod) -> list[str]:
        """Return the windows with too many requests of gateways that had told the limit."""
        times = [
            run.at_s
            for run in self._site.endpoints["p-1"].runs
            if period.begun_s + CHANGE_S <= run.at_s < period.ended_s
            and self._is_told(fleet, run, period)
        ]
        limit = permitted(period.limit_per_s)
        counts = (sum(at_s <= other < at_s + WINDOW_S for other in times) for at_s in times)
        return [f"{count} requests of {limit} in {period}" for count in counts if count > limit]

    @staticmethod
    def _is_told(fleet: GatewayFleet, run: EndpointRun, period: LimitPeriod) -> bool:
        """Return whether the process that sent a request had passed on an answer with the limit.

        Only calls that began after the change and after the start of the process count.
        """
        calls_port = int(run.request_id.partition("-")[0])
        (gateway,) = (one for one in fleet.gateways if one.calls_port == calls_port)
        started_s = max(at_s for at_s in gateway.starts_s if at_s <= run.at_s)
        return any(
            record.calls_port == calls_port
            and record.endpoint == "p-1"
            and max(started_s, period.begun_s) <= record.begun_s
            and record.ended_s <= run.at_s - TOLD_S
            for record in fleet.records
        )

    async def _inject(self, fleet: GatewayFleet) -> None:
        async with asyncio.TaskGroup() as running:
            while True:
                await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
                fault = self._rng.choice(self._faults)
                self.injected.append(fault.__name__)
                running.create_task(fault(fleet))  # type: ignore[arg-type]

    def _duration_s(self) -> float:
        return self._rng.uniform(*FAULT_DURATION_S)

    async def _add_gateway(self, fleet: GatewayFleet) -> None:
        if len(fleet.gateways) >= GATEWAYS[1] + FURTHER_GATEWAYS:
            return
        gateway = await fleet.add()
        fleet.send(gateway, "/safe/a", REQUESTS_PER_S)

    def _choose(self, fleet: GatewayFleet) -> GatewaySubprocess:
        """Return one of the gateways whose first process has been started."""
        return self._rng.choice([gateway for gateway in fleet.gateways if gateway.is_started])

    async def _kill_gateway(self, fleet: GatewayFleet) -> None:
        gateway = self._choose(fleet)
        await gateway.replace(gateway.process)

    async def _stop_gateway(self, fleet: GatewayFleet) -> None:
        gateway = self._choose(fleet)
        process = gateway.process
        self._signal(gateway, signal.SIGTERM)
        await asyncio.sleep(self._duration_s())
        await gateway.replace(process)

    async def _freeze_gateway(self, fleet: GatewayFleet) -> None:
        gateway = self._choose(fleet)
        begun_s = time.monotonic()
        self._signal(gateway, signal.SIGSTOP)
        await asyncio.sleep(self._duration_s())
        self._signal(gateway, signal.SIGCONT)
        freeze = Stall(begun_s, time.monotonic())
        self._freezes.setdefault(gateway.calls_port, []).append(freeze)

    async def _store_fault(self, fleet: GatewayFleet) -> None:
        self._site.store.fault = self._rng.choice(list(StoreFault))
        await asyncio.sleep(self._duration_s())
        self._site.store.fault = StoreFault.NONE

    async def _restore_store(self, fleet: GatewayFleet) -> None:
        saved = self._site.store.snapshot()
        await asyncio.sleep(self._duration_s())
        self._site.store.restore(saved)

    @staticmethod
    def _signal(gateway: GatewaySubprocess, number: signal.Signals) -> None:
        # Another fault may have ended the process.
        with contextlib.suppress(ProcessLookupError):
            gateway.process.send_signal(number)
