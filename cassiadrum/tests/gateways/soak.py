"""Randomized soak test of two gateway processes under overlapping faults."""

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from cassiadrum.platform.headers import Header
from cassiadrum.platform.node_settings import parse_node_settings
from cassiadrum.platform.standins import StoreFault
from cassiadrum.platform.store_waits import StoreWaits
from cassiadrum.protocols import AnswerLost, HttpError
from cassiadrum.tests.gateways.conftest import GatewaySubprocess, free_port
from cassiadrum.tests.gateways.disturbances import Disturbances
from cassiadrum.tests.gateways.sites import (
    REVOKE_S,
    Caller,
    PlatformSite,
    make_configuration,
    make_settings,
    write_settings,
)
from cassiadrum.tests.harness.fault_proxies import Direction, FaultProxy

CALLERS = 6
GATEWAYS = 2
FAULT_INTERVAL_S = (0.1, 0.6)
FAULT_DURATION_S = (0.3, 2.0)
ANSWER_TIMEOUT_S = 5.0
# Time within which gateways must serve again after all faults have ended.
RECOVERY_TIMEOUT_S = 8.0
# Time between SIGTERM and SIGKILL. Calls to an endpoint that hangs last 3 s, so that some of those
# sent during a stop do not end within it.
SOAK_GRACE_S = 4
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Keys that successive configurations add and revoke, beside one that is always valid.
TEMPORARY_KEYS = tuple(f"key-{number}" for number in range(2, 10))


def longest_wait_s() -> float:
    """Return the longest time in seconds after which a gateway reads changed endpoints."""
    settings = parse_node_settings(json.dumps(make_settings(1, 2, 3)).encode())
    return StoreWaits.from_bounds(settings.bounds).change_s


class RequestOutcome(NamedTuple):
    """The outcome of one request for its caller; `status` is 0 without a complete answer.

    `gateway` is the one that got the request, from `sent_s` to `ended_s` in monotonic seconds.
    `exc` is the error that the caller got in place of an answer.
    """

    request_id: str
    kind: str
    status: int
    signature: str
    body: bytes
    events: int
    gateway: GatewaySubprocess
    sent_s: float
    ended_s: float
    exc: Exception | None


class GatewaySoak:
    """Run callers and random faults, end the faults, and list the violated guarantees."""

    def __init__(self, seed: int, directory: Path) -> None:
        self._rng = random.Random(seed)
        self._site = PlatformSite()
        self._directory = directory
        self._gateways: list[GatewaySubprocess] = []
        self._proxies: list[FaultProxy] = []
        self._outcomes: list[RequestOutcome] = []
        self._version = 1
        # The last writes of the endpoints and the operator; None if the entry was removed.
        self._states: dict[str, str | None] = dict.fromkeys(self._site.endpoints, "ready")
        # Time of the last of these writes of an endpoint, in monotonic seconds.
        self._registered_s = 0.0
        self._configuration = make_configuration()
        # Time at which the operator revoked each key, in monotonic seconds.
        self._revoked_s = dict.fromkeys(TEMPORARY_KEYS, float("-inf"))
        self._served_after_revocation: list[str] = []
        # Kills and suspensions of gateways, and their planned stops.
        self._interruptions = Disturbances()
        self._planned_stops = Disturbances()
        self._faults: list[Callable[[], Awaitable[None]]] = [
            self._endpoint_fault,
            self._cut_streams,
            self._connection_fault,
            self._store_fault,
            self._pause_gateway,
            self._kill_gateway,
            self._restart_gateway,
            self._drain_endpoint,
            self._change_configuration,
            self._revoke_key_during_partition,
            self._restore_store,
        ]
        self.injected: list[str] = []

    async def run(self, seconds: float) -> list[str]:
        """Run for a number of seconds and return the violated guarantees."""
        await self._start()
        try:
            callers = [asyncio.create_task(self._call_repeatedly(n)) for n in range(CALLERS)]
            callers.append(asyncio.create_task(self._call_with_temporary_keys()))
            await self._inject(seconds)
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            return self._find_violations() + await self._find_recovery_violations()
        finally:
            await self._close()

    @property
    def served(self) -> int:
        """Return the number of requests that were answered successfully."""
        return sum(outcome.status == 200 for outcome in self._outcomes)

    async def _start(self) -> None:
        await self._site.start()
        for endpoint in self._site.endpoints.values():
            proxy = FaultProxy(endpoint.address)
            endpoint.address = await proxy.start()
            self._proxies.append(proxy)
        for name in self._site.endpoints:
            self._site.register(name)
        store = FaultProxy(f"127.0.0.1:{self._site.store_port}")
        await store.start()
        self._proxies.append(store)
        store_port = int(store.address.rpartition(":")[2])
        for number in range(GATEWAYS):
            ports = free_port(), free_port()
            path = self._directory / f"boot-{number}.json"
            settings = make_settings(store_port, *ports, f"front-a-{number}")
            settings["bounds"]["grace_s"] = SOAK_GRACE_S
            write_settings(path, settings)
            run = GatewaySubprocess(path, *ports, self._directory / f"gateway-{number}.log")
            await run.start()
            self._gateways.append(run)
        for run in self._gateways:
            await run.wait_ready()

    async def _close(self) -> None:
        for run in self._gateways:
            await run.kill()
        for proxy in self._proxies:
            await proxy.close()
        await self._site.close()

    # Callers; each keeps its connection for several requests, or until it fails.

    async def _call_repeatedly(self, number: int) -> None:
        rng = random.Random(self._rng.random())
        count = 0
        while True:
            run = rng.choice(self._gateways)
            caller = Caller(run.calls_port)
            try:
                for _ in range(rng.randint(1, 12)):
                    count += 1
                    await self._call(run, caller, rng, f"c{number}-{count}")
                    await asyncio.sleep(rng.uniform(0.0, 0.05))
            except (OSError, HttpError, TimeoutError):
                await asyncio.sleep(0.05)
            finally:
                caller.close()

    async def _call(
        self, run: GatewaySubprocess, caller: Caller, rng: random.Random, request_id: str
    ) -> None:
        kind = rng.choice(("once", "safe", "stream"))
        events = rng.randint(1, 30) if kind == "stream" else 0
        sent_s = time.monotonic()
        outcome = RequestOutcome(
            request_id, kind, 0, "", b"", events, run, sent_s, sent_s, exc=None
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers, body = await caller.call(
                    f"/{kind}/a", events=events, request_id=request_id
                )
            signature = headers.get(Header.SIGNATURE, "")
            outcome = outcome._replace(status=status, signature=signature, body=body)
        except (OSError, HttpError, TimeoutError) as exc:
            outcome = outcome._replace(exc=exc)
            raise
        finally:
            self._outcomes.append(outcome._replace(ended_s=time.monotonic()))

    async def _call_with_temporary_keys(self) -> None:
        """Send requests with keys that are added and revoked; record late use of a revoked key."""
        rng = random.Random(self._rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            key = rng.choice(TEMPORARY_KEYS)
            revoked_s = self._revoked_s.get(key)
            revoked_for_s = time.monotonic() - revoked_s if revoked_s is not None else 0.0
            caller = Caller(rng.choice(self._gateways).calls_port)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    status, _, _ = await caller.call("/safe/a", key=key)
            except (OSError, HttpError, TimeoutError):
                continue
            finally:
                caller.close()
            if (
                status == 200
                and revoked_for_s > REVOKE_S
                and self._revoked_s.get(key) == revoked_s
            ):
                self._served_after_revocation.append(
                    f"{key} was served {revoked_for_s:.2f} s after it was revoked"
                )

    # Faults; they overlap, since each has its own random duration.

    async def _inject(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        running = []
        while loop.time() < end_s:
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_S))
            fault = self._rng.choice(self._faults)
            self.injected.append(fault.__name__)
            running.append(asyncio.create_task(self._run_fault(fault)))
        await asyncio.gather(*running)

    @staticmethod
    async def _run_fault(fault: Callable[[], Awaitable[None]]) -> None:
        await fault()

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_DURATION_S))

    async def _endpoint_fault(self) -> None:
        endpoint = self._rng.choice(list(self._site.endpoints.values()))
        name = self._rng.choice(("hang", "fail", "refuse"))
        setattr(endpoint, name, True)
        await self._wait_fault_duration()
        setattr(endpoint, name, False)

    async def _cut_streams(self) -> None:
        endpoint = self._site.endpoints[self._rng.choice(("e-1", "e-2"))]
        endpoint.cut_after = self._rng.randint(1, 3)
        await self._wait_fault_duration()
        endpoint.cut_after = None

    async def _connection_fault(self) -> None:
        proxy = self._rng.choice(self._proxies)
        kind = self._rng.choice(("reset", "silence", "partition", "delay", "half"))
        if kind == "reset":
            proxy.cut(reset=True)
        elif kind == "silence":
            proxy.silence()
        elif kind == "partition":
            proxy.partition()
            await self._wait_fault_duration()
            proxy.heal()
        elif kind == "delay":
            proxy.delay_s = 0.1
            await self._wait_fault_duration()
            proxy.delay_s = 0.0
        else:
            proxy.truncate_next_read(Direction.TO_CLIENT)

    async def _store_fault(self) -> None:
        store = self._site.store
        kind = self._rng.choice([*StoreFault, "slow", "forget"])
        if isinstance(kind, StoreFault):
            store.fault = kind
            await self._wait_fault_duration()
            store.fault = StoreFault.NONE
        elif kind == "slow":
            store.slow_s = 0.3
            await self._wait_fault_duration()
            store.slow_s = 0.0
        else:
            store.drop_history()

    async def _pause_gateway(self) -> None:
        run = self._rng.choice(self._gateways)
        process = run.process
        # Another fault may have killed the process.
        with self._interruptions.record(run), contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await self._wait_fault_duration()
            process.send_signal(signal.SIGCONT)

    async def _kill_gateway(self) -> None:
        run = self._rng.choice(self._gateways)
        with self._interruptions.record(run):
            # A planned stop that ends meanwhile must not start a second process.
            await run.replace(run.process)

    async def _restart_gateway(self) -> None:
        run = self._rng.choice(self._gateways)
        process = run.process
        with self._planned_stops.record(run):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SOAK_GRACE_S):
                    await process.wait()
            await run.replace(process)

    async def _drain_endpoint(self) -> None:
        name = self._rng.choice(list(self._site.endpoints))
        self._write_state(name, "draining")
        await self._wait_fault_duration()
        if self._rng.random() < 0.5:
            self._write_state(name, None)
            await self._wait_fault_duration()
        # The endpoint starts again under the same instance name.
        self._site.endpoints[name].born += 1
        self._write_state(name, "ready")

    def _write_state(self, name: str, state: str | None) -> None:
        self._states[name] = state
        if state is None:
            self._site.store.remove("servers", name)
        else:
            self._site.register(name, state)
            self._registered_s = time.monotonic()

    async def _restore_store(self) -> None:
        """Restore the store from an older copy; the endpoints register again up to 1 s later."""
        store = self._site.store
        saved = store.snapshot()
        await self._wait_fault_duration()
        store.fault = StoreFault.RESET
        await asyncio.sleep(0.2)
        store.restore(saved)
        store.put("op", "config", self._configuration)
        store.fault = StoreFault.NONE
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        for name, state in self._states.items():
            self._write_state(name, state)

    async def _change_configuration(self) -> None:
        self._version += self._rng.randint(1, 3)
        key = self._rng.choice(TEMPORARY_KEYS)
        tenants = [{"name": "st-martin", "api_keys": ["key-1", key]}]
        self._configuration = make_configuration(self._version, tenants=tenants)
        self._site.store.put("op", "config", self._configuration)
        now = time.monotonic()
        self._revoked_s = {
            other: self._revoked_s.get(other, now) for other in TEMPORARY_KEYS if other != key
        }

    async def _revoke_key_during_partition(self) -> None:
        """Revoke a key while no gateway reaches the store for longer than REVOKE_S."""
        store = self._proxies[-1]
        store.partition()
        await self._change_configuration()
        await asyncio.sleep(REVOKE_S + self._rng.uniform(*FAULT_DURATION_S))
        store.heal()

    # Guarantees, checked against the records of callers and endpoints.

    def _find_violations(self) -> list[str]:
        violations = [text for outcome in self._outcomes if (text := self._violation(outcome))]
        return violations + self._served_after_revocation

    def _violation(self, outcome: RequestOutcome) -> str:
        runs = self._site.runs(outcome.request_id)
        what = f"{outcome.kind} {outcome.request_id} with status {outcome.status}"
        if outcome.kind == "once" and runs > 1:
            return f"{what} ran {runs} times"
        if outcome.status in NOT_RUN_STATUSES and runs and outcome.kind == "once":
            return f"{what} ran {runs} times, though it was refused as not run"
        if outcome.status in (401, 404):
            return f"{what}, though every configuration allows it"
        if outcome.status == 200:
            return self._answer_violation(outcome, runs, what)
        if self._is_unanswered(outcome, runs):
            return f"{what} got no answer and ran {runs} times: {outcome.exc!r}"
        return ""

    def _is_unanswered(self, outcome: RequestOutcome, runs: int) -> bool:
        """Return whether the connection of a request ended without an answer for no fault.

        Streams are left out, since their endpoints and connections to them fail midway. A request
        that crosses the close of an idle connection in a planned stop has not run.
        """
        if outcome.kind == "stream" or not isinstance(outcome.exc, AnswerLost | TimeoutError):
            return False
        span = (outcome.gateway, outcome.sent_s, outcome.ended_s)
        if self._interruptions.overlap(*span):
            return False
        crossed = isinstance(outcome.exc, AnswerLost) and not runs
        return not (crossed and self._planned_stops.overlap(*span))

    @staticmethod
    def _answer_violation(outcome: RequestOutcome, runs: int, what: str) -> str:
        if not runs or not outcome.signature:
            return f"{what} has an answer that did not come from an endpoint"
        if outcome.kind != "stream":
            signed = outcome.signature == f"signed-by-{outcome.body.decode()}"
            return "" if signed else f"{what} has the body {outcome.body!r} of {outcome.signature}"
        whole = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, outcome.events + 1))
        return "" if outcome.body == whole.encode() else f"{what} has the events {outcome.body!r}"

    async def _find_recovery_violations(self) -> list[str]:
        # A gateway reads changed endpoints at the end of its wait for a new configuration.
        await asyncio.sleep(self._registered_s + longest_wait_s() - time.monotonic())
        violations = []
        for number, run in enumerate(self._gateways):
            if run.process.returncode is not None:
                await run.start()
            try:
                await run.wait_ready(limit_s=RECOVERY_TIMEOUT_S)
                caller = Caller(run.calls_port)
                status, _, _ = await caller.call("/safe/a", request_id=f"last-{number}")
                caller.close()
            except (OSError, HttpError, TimeoutError) as exc:
                violations.append(
                    f"gateway {number} does not serve after the end of all faults: {exc!r}"
                )
            else:
                if status != 200:
                    violations.append(
                        f"gateway {number} answers {status} after the end of all faults"
                    )
        return violations
