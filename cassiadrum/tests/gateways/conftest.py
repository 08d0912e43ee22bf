"""Fixtures for a gateway process on loopback."""

import asyncio
import functools
import itertools
import os
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from cassiadrum.protocols import AnswerLost, ConnectFailed, HttpClient
from cassiadrum.tests.gateways.sites import (
    Caller,
    PlatformSite,
    make_settings,
    poll_until,
    write_settings,
)

START_TIMEOUT_S = 20.0


# Below the ephemeral ports of the system.
FIRST_PORT = 10_000
END_PORT = 32_000
PORTS_PER_RANGE = 500


class PortRange:
    """A range of ports that one test process has for itself, in any checkout on the machine.

    The process listens at the first port of the range as long as it runs.
    """

    def __init__(self) -> None:
        for first in range(FIRST_PORT, END_PORT, PORTS_PER_RANGE):
            self._guard = socket.socket()
            try:
                self._guard.bind(("127.0.0.1", first))
                self._guard.listen()
            except OSError:
                self._guard.close()
                continue
            self._ports = itertools.cycle(range(first + 1, first + PORTS_PER_RANGE))
            return
        raise RuntimeError(f"no free range of ports below {END_PORT}")

    def next_port(self) -> int:
        """Return the next port; all others are returned before it is returned again."""
        return next(self._ports)


_port_range = functools.cache(PortRange)


def free_port() -> int:
    """Return a port that is free now and was not returned shortly before.

    The system may assign an ephemeral port again before the gateway listens there.
    """
    while True:
        port = _port_range().next_port()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class GatewaySubprocess:
    """A gateway in a child process, with its ports, settings file and log file."""

    def __init__(self, settings_path: Path, calls_port: int, ready_port: int, log: Path) -> None:
        self.metrics_port = free_port()
        self.calls_port = calls_port
        self.ready_port = ready_port
        self.log = log
        self.settings_path = settings_path
        # Monotonic times at which a process was started.
        self.starts_s: list[float] = []
        self._process: asyncio.subprocess.Process | None = None
        self._starting: asyncio.Task[None] | None = None
        self._replacing = asyncio.Lock()

    async def start(self) -> None:
        """Start the process; the start goes on if the caller is cancelled."""
        self._starting = asyncio.create_task(self._spawn())
        await asyncio.shield(self._starting)

    async def replace(self, process: asyncio.subprocess.Process) -> None:
        """Kill a process and start another one, unless another caller has done that already."""
        async with self._replacing:
            if self._process is process:
                await self.kill()
                await self.start()

    async def _spawn(self) -> None:
        self.starts_s.append(time.monotonic())
        env = {**os.environ, "CASSIADRUM_NODE_FILE": str(self.settings_path)}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cassiadrum.platform",
                "--metrics-port",
                str(self.metrics_port),
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def is_started(self) -> bool:
        """Return whether a process was started, whether or not it still runs."""
        return self._process is not None

    @property
    def process(self) -> asyncio.subprocess.Process:
        """Return the running process."""
        assert self._process is not None
        return self._process

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        client = HttpClient("127.0.0.1", self.ready_port)
        try:
            response = await client.request("GET", "/-/ready")
            await response.read()
        except ConnectFailed:
            return False
        finally:
            client.close()
        return response.status == 200

    async def wait_listening(self) -> None:
        """Wait until the process answers readiness checks."""
        await poll_until(self.listening, START_TIMEOUT_S)

    async def listening(self) -> bool:
        """Return whether the process answers readiness checks, ready or not."""
        client = HttpClient("127.0.0.1", self.ready_port)
        try:
            await (await client.request("GET", "/-/ready")).read()
        except (ConnectFailed, AnswerLost):
            # The process has not started yet, or was killed after the connection was made.
            return False
        finally:
            client.close()
        return True

    async def wait_ready(self, *, ready: bool = True, limit_s: float = START_TIMEOUT_S) -> None:
        """Wait until the readiness check succeeds, or with `ready=False` until it fails.

        Raises AssertionError if the process has ended.
        """

        async def reached() -> bool:
            assert self.process.returncode is None, f"the gateway has ended, see {self.log}"
            return await self.is_ready() == ready

        await poll_until(reached, limit_s)

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self._starting is not None:
            await self._starting
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


@pytest.fixture
async def site() -> AsyncIterator[PlatformSite]:
    site = PlatformSite()
    await site.start()
    yield site
    await site.close()


@pytest.fixture
async def gateway(site: PlatformSite, tmp_path: Path) -> AsyncIterator[GatewaySubprocess]:
    calls_port, ready_port = free_port(), free_port()
    path = tmp_path / "boot.json"
    write_settings(path, make_settings(site.store_port, calls_port, ready_port))
    run = GatewaySubprocess(path, calls_port, ready_port, tmp_path / "gateway.log")
    await run.start()
    yield run
    await run.kill()


@pytest.fixture
async def caller(gateway: GatewaySubprocess) -> AsyncIterator[Caller]:
    await gateway.wait_ready()
    caller = Caller(gateway.calls_port)
    yield caller
    caller.close()
