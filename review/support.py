"""Stand-ins, clients and processes for the scripts of the review, all on loopback addresses."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from cassiadrum.platform.standins import RowService

ROOT = Path(__file__).resolve().parent.parent
HOST = "service.example"
KEY = "key-1"
HEARTBEAT_S = 1.2
START_LIMIT_S = 20.0
ID = "x-cassiadrum-request-id"
SIGNATURE = "x-cassiadrum-response-signature"
NOT_RUN = "x-cassiadrum-not-executed"
TARGET = "x-cassiadrum-target-instance"
LOAD = "x-cassiadrum-instance-load"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "stretch_max_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 58,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
}


class Trial:
    """One run of a script: its record, its free addresses and whether the disruption is on."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self.note(f"trial with TROUBLE={int(self.trouble)}")

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start into the record."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def finish(self, broken: bool, text: str) -> int:
        """Write the result and return the exit status."""
        self.note(f"result: {'broken' if broken else 'held'}: {text}")
        print(f"{'broken' if broken else 'held'}: {text}")
        return int(broken)


def run(main: Callable[[Trial], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a script to its end and exit with its status, or with 2 if it could not run."""

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await main(Trial(folder))

    try:
        status = asyncio.run(limited())
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        status = 2
    sys.exit(status)


def free_port(host: str) -> int:
    """Return a port that is free at the address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


async def watch_lag(trial: Trial, limit_s: float = 0.2) -> None:
    """Note each time at which the script itself was late by more than `limit_s`."""
    while True:
        due_s = time.monotonic() + 0.1
        await asyncio.sleep(0.1)
        late_s = time.monotonic() - due_s
        if late_s > limit_s:
            trial.note(f"this script was late by {late_s:.2f} s")


class Request(NamedTuple):
    """A request that an engine has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id that the client gave to the request."""
        return self.headers.get(ID, "")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body; raise EOFError or ValueError."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return first, headers, b"".join(parts)
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Engine:
    """An engine of a service, which writes its registration as the pages say.

    `answer` writes the answer to a request that runs; the default one is a plain success.
    """

    def __init__(
        self, trial: Trial, store: RowService, name: str, service: str, slots: int = 6
    ) -> None:
        self.name = name
        self.runs: list[str] = []
        self.running = 0
        self.work_s = 0.02
        self.queue = 24
        self.answer: Callable[[Request, asyncio.StreamWriter], Awaitable[None]] = self.succeed
        self.address = ""
        self._trial = trial
        self._store = store
        self._service = service
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._born_ms = int(time.time() * 1000)
        self._seq = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, register and renew the registration."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._tasks.append(asyncio.create_task(self._register()))

    def entry(self) -> dict[str, Any]:
        """Return the engine's registration."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self._born_ms,
            "seq": self._seq,
        }

    async def _register(self) -> None:
        while True:
            self._seq += 1
            self._store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def succeed(self, req: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request with a short body."""
        body = f"{self.name} ran {req.request_id}".encode()
        writer.write(self.head(req, 200, f"content-length: {len(body)}") + body)

    def head(self, req: Request, status: int, *lines: str) -> bytes:
        """Return the head of an answer that is the engine's own."""
        own = (f"{ID}: {req.request_id}", f"{SIGNATURE}: {self.name}.{req.request_id}")
        load = f"{LOAD}: {self.running},0,{self._slots}"
        return "\r\n".join((f"HTTP/1.1 {status} X", *own, load, *lines, "", "")).encode("latin-1")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, EOFError, asyncio.LimitOverrunError):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self._handle(Request(method, target, headers, body), writer)
                await writer.drain()
        writer.close()

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> None:
        if req.target == "/-/report":
            report = json.dumps({"running": self.running, "waiting": 0}).encode()
            writer.write(
                f"HTTP/1.1 200 X\r\ncontent-length: {len(report)}\r\n\r\n".encode() + report
            )
            return
        if req.headers.get(TARGET, self.name) != self.name:
            self.refuse(req, writer, 421)
            return
        if self.running >= self._slots + self.queue:
            self.refuse(req, writer, 503)
            return
        self.running += 1
        try:
            async with self._free:
                self.runs.append(req.request_id)
                self._trial.note(f"{self.name} runs {req.request_id}")
                await asyncio.sleep(self.work_s)
                await self.answer(req, writer)
        finally:
            self.running -= 1

    def refuse(self, req: Request, writer: asyncio.StreamWriter, status: int) -> None:
        """Answer that the request has not run."""
        self._trial.note(f"{self.name} refuses {req.request_id} with {status}, not run")
        lines = (f"HTTP/1.1 {status} X", f"{ID}: {req.request_id}", f"{NOT_RUN}: 1")
        writer.write("\r\n".join((*lines, "content-length: 0", "", "")).encode("latin-1"))


class Answer(NamedTuple):
    """What a client saw of one request; status 0 is a connection that ended without an answer."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_s: float
    ended_s: float


class Client:
    """A client with one kept connection to a gateway."""

    def __init__(self, trial: Trial, address: tuple[str, int]) -> None:
        self._trial = trial
        self._address = address
        self._conn: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self,
        method: str,
        target: str,
        request_id: str,
        *lines: str,
        timeout_s: float = 1.0,
        patience_s: float = 0.0,
        key: str = KEY,
    ) -> Answer:
        """Send a request and return its answer.

        `timeout_s` is told to the gateway; the client stays `patience_s` longer.
        """
        sent_s = time.monotonic()
        status, headers, body = 0, {}, b""
        try:
            async with asyncio.timeout(timeout_s + patience_s):
                if self._conn is None:
                    self._conn = await asyncio.open_connection(*self._address)
                reader, writer = self._conn
                head = (
                    f"{method} {target} HTTP/1.1",
                    f"Host: {HOST}",
                    f"X-Cassiadrum-Request-Id: {request_id}",
                    f"X-Cassiadrum-Timeout-Ms: {int(timeout_s * 1000)}",
                    f"X-Api-Key: {key}",
                    *lines,
                    *(("Content-Length: 2",) if method == "POST" else ()),
                )
                self._trial.note(f"client sends {request_id} {method} {target}")
                payload = b"{}" if method == "POST" else b""
                writer.write("\r\n".join((*head, "", "")).encode() + payload)
                first, headers, body = await read_message(reader)
                status = int(first.split(" ")[1])
                if headers.get("connection") == "close":
                    self.close()
        except (OSError, EOFError, TimeoutError, ValueError) as exc:
            self._trial.note(f"client sees no answer to {request_id}: {exc!r}")
            self.close()
        ended_s = time.monotonic()
        if status:
            took_ms = (ended_s - sent_s) * 1000
            self._trial.note(f"client gets {status} for {request_id} after {took_ms:.0f} ms")
        return Answer(request_id, status, headers, body, sent_s, ended_s)

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn[1].close()
            self._conn = None


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route for the paths below `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "priority": 2,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "timeout_ms": 1000,
        "goal_ms": 125,
        "gap_target_ms": 0,
        "resumable": False,
        **changes,
    }


def configuration(
    routes: list[dict[str, Any]],
    version: int = 1,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration, by default with one tenant."""
    services = sorted({found["service"] for found in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 110} for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY]}] if tenants is None else tenants,
    }


class Gateway:
    """A process of the role that the deploy file starts on the front machines."""

    def __init__(self, trial: Trial, store_port: int, folder: Path, number: int = 1) -> None:
        self.ip = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{number}"
        self.calls = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self._trial = trial
        self._number = number
        self._folder = folder
        self._store_port = store_port
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        path = self._folder / f"boot-{self._number}.json"
        path.write_text(json.dumps(self._settings()))
        words = _gateway_command().split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CASSIADRUM_NODE_FILE"] = str(path)
        with (self._folder / f"gateway-{self._number}.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._trial.note(f"gateway {self._number} started")
        async with asyncio.timeout(START_LIMIT_S):
            while not await self.is_ready():
                if self._process.returncode is not None:
                    raise RuntimeError(f"the gateway ended with {self._process.returncode}")
                await asyncio.sleep(0.1)
        self._trial.note(f"gateway {self._number} is ready")

    async def is_ready(self, limit_s: float = 1.0) -> bool:
        """Return whether the process answers the platform's question with 200 in time."""
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in first

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._trial.note(f"gateway {self._number} gets {number.name}")
        self._process.send_signal(number)

    @property
    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.returncode is not None

    async def stop(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()

    def _settings(self) -> dict[str, Any]:
        host, port = self.calls
        return {
            "node": f"front-zone-a-{self._number}",
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-1",
            "zones": {"zone-a": "region-1"},
            "listen": {"front": f"{host}:{port}", "ready": f"{self.ready[0]}:{self.ready[1]}"},
            "internal_ports": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self._store_port}", "form": "table"},
        }


def _gateway_command() -> str:
    """Return the command of the deploy file's role `gateway`."""
    lines = (ROOT / "deploy" / "system.toml").read_text().splitlines()
    start = lines.index("[roles.gateway]")
    found = next(line for line in lines[start:] if line.startswith("run = "))
    return found.removeprefix("run = ").strip('"')


@contextlib.asynccontextmanager
async def site(
    trial: Trial, routes: list[dict[str, Any]], gateways: int = 1
) -> AsyncIterator[tuple[RowService, list[Gateway]]]:
    """Run a store and gateways, which are not started yet, and end all of them."""
    store = RowService()
    lag = asyncio.create_task(watch_lag(trial))
    with tempfile.TemporaryDirectory() as name:
        port = await store.start()
        store.put("op", "config", configuration(routes))
        found = [Gateway(trial, port, Path(name), number + 1) for number in range(gateways)]
        try:
            yield store, found
        finally:
            lag.cancel()
            for gateway in found:
                await gateway.stop()
            await store.close()
