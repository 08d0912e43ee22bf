"""Stand-ins and processes that the scripts of the second review share.

A script plays a small site on loopback addresses and the real clock: gateways started with the
command of the deploy file, a store, endpoints and callers. The store is the project's stand-in;
the endpoints and the callers are the small ones below, which follow the platform's pages.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from cassiadrum.platform.standins import RowService

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "site.example"
START_TIMEOUT_S = 20.0
ZONES = {"muenchen-a": "bayern", "landshut-b": "bayern", "rosenheim-c": "bayern"}
# The bounds of the deployment `gkao`.
BOUNDS: dict[str, Any] = {
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


def with_trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`, each with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self.add(f"trouble {int(with_trouble())}")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def add(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port(host: str) -> int:
    """Return a port that is free at an address now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def loopback_host() -> str:
    """Return a loopback address for one machine."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


class Gateway:
    """A process of the role `gateway` of the deploy file, on a machine of its own."""

    def __init__(self, name: str, zone: str, folder: Path, store: str) -> None:
        self.name = name
        self.host = loopback_host()
        self.front = free_port(self.host)
        self.ready_port = free_port(self.host)
        self._folder = folder
        self._path = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None
        self.settings: dict[str, Any] = {
            "node": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "internal_ports": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": dict(BOUNDS),
            "platform": {"address": store, "form": "table", "writes_per_s": 400},
        }

    def write_settings(self) -> None:
        """Replace the settings file as a whole."""
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(self.settings))
        new.rename(self._path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CASSIADRUM_NODE_FILE"] = str(self._path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )

    async def wait_ready(self) -> None:
        """Wait until the process reports that it is ready; raise TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    caller = Caller(self.host, self.ready_port)
                    answer = await caller.send("GET", "/-/ready", {}, timeout_s=1.0)
                    caller.close()
                    if answer.status == 200:
                        return
                await asyncio.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Answer(NamedTuple):
    """What a caller got: `status` is 0 without a head, `whole` tells of a complete body."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    sent_s: float
    ended_s: float

    def header(self, name: str) -> str:
        """Return the value of a header, an empty text without it."""
        return self.headers.get(name, "")


class Caller:
    """A caller with one connection, over which it sends one request after the other."""

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 30.0,
    ) -> Answer:
        """Send a request and return what came of it; raise OSError if nothing could be sent."""
        if self._streams is None:
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(self._host, self._port)
        reader, writer = self._streams
        lines = {"Host": HOST, "Content-Length": str(len(body)), **headers}
        head = f"{method} {target} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        sent_s = time.monotonic()
        writer.write(head.encode() + b"\r\n" + body)
        status, found, data, whole = 0, {}, bytearray(), False
        try:
            async with asyncio.timeout(timeout_s):
                status, found = await _read_head(reader)
                whole = await _read_body(reader, status, found, data)
        except (OSError, EOFError, TimeoutError):
            whole = False
        if not whole or found.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, found, bytes(data), whole, sent_s, time.monotonic())

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return int(lines[0].split(" ")[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, status: int, headers: dict[str, str], data: bytearray
) -> bool:
    """Add the body to `data`; return whether it ended as its framing says."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            data += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return True
    if "content-length" in headers:
        data += await reader.readexactly(int(headers["content-length"]))
        return True
    if status == 204:
        return True
    data += await reader.read()
    return True


class Request(NamedTuple):
    """A request as an endpoint received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave it."""
        return self.headers.get("x-cassiadrum-request-id", "")


Work = Callable[["Endpoint", Request, asyncio.StreamWriter], Awaitable[bool]]


class Endpoint:
    """A sound endpoint, which rejects requests beyond its slots and those for another endpoint.

    `work` answers a request that runs, and returns whether the connection stays open. With
    `leaving`, all answers say that the endpoint leaves.
    """

    def __init__(self, instance: str, service: str, zone: str, slots: int, work: Work) -> None:
        self.instance, self.service, self.zone, self.slots = instance, service, zone, slots
        self.leaving = False
        self.running = 0
        # Requests with an id that arrived here, and those of them that ran.
        self.arrived: list[Request] = []
        self.ran: list[Request] = []
        self.host = loopback_host()
        self.port = 0
        self.born = int(time.time() * 1000)
        self._work = work
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the registration of this endpoint."""
        self._seq += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "born": self.born,
            "seq": self._seq,
        }

    def notices(self) -> dict[str, str]:
        """Return the headers that all answers have."""
        found = {"X-Cassiadrum-Instance-Load": f"{self.running},0,{self.slots}"}
        if self.leaving:
            found["Server-Leaving"] = "1"
        return found

    def refusal_notices(self) -> dict[str, str]:
        """Return further headers of an answer that turns a request away."""
        return {}

    def signed(self, req: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        signature = f"{self.instance}.{req.request_id}"
        return {
            "X-Cassiadrum-Request-Id": req.request_id,
            "X-Cassiadrum-Response-Signature": signature,
            **self.notices(),
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (req := await _read_request(reader)) is not None:
                if not await self._answer(req, writer):
                    return
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: Request, writer: asyncio.StreamWriter) -> bool:
        own = {"X-Cassiadrum-Instance-Id": self.instance, **self.notices()}
        if req.target == "/-/report":
            report = {"running": self.running, "waiting": 0, "stage": "both", "models": []}
            return await send_answer(writer, 200, own, json.dumps(report).encode())
        if req.target == "/health":
            return await send_answer(writer, 503 if self.leaving else 200, own)
        not_run = {"X-Cassiadrum-Request-Id": req.request_id, "X-Cassiadrum-Not-Executed": "1"}
        if not req.request_id:
            return await send_answer(writer, 400, {**own, "X-Cassiadrum-Not-Executed": "1"})
        wanted = req.headers.get("x-cassiadrum-target-instance", self.instance)
        if wanted != self.instance:
            return await send_answer(writer, 421, {**own, **not_run})
        self.arrived.append(req)
        if self.running >= self.slots:
            full = {**own, **not_run, **self.refusal_notices()}
            return await send_answer(writer, 503, full)
        self.ran.append(req)
        self.running += 1
        try:
            return await self._work(self, req, writer)
        finally:
            self.running -= 1


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body, time.monotonic())


async def send_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
) -> bool:
    """Send an answer with a length; return True, as the connection stays open."""
    head = f"HTTP/1.1 {status} X\r\n"
    lines = {**headers, "Content-Length": str(len(body))}
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()
    return True


def configuration(routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return the operator's configuration, with one tenant and the key `key-1`."""
    return {
        "version": 3,
        "routes": [{"host": HOST, "priority": 2, **route} for route in routes],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 110} for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "st-martin", "api_keys": ["key-1"]}],
    }


class Proxy:
    """Passes connections on to an address; those that are open can fall silent for good."""

    def __init__(self, target_host: str, target_port: int) -> None:
        self._target = target_host, target_port
        self.host = "127.0.0.1"
        self.port = 0
        self._silent: set[int] = set()
        self._open: dict[int, tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}
        self._count = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._open.values()):
            for writer in pair:
                writer.close()

    def stop(self) -> None:
        """Refuse new connections and end the open ones."""
        if self._server is not None:
            self._server.close()
        for pair in list(self._open.values()):
            for writer in pair:
                writer.transport.abort()

    async def start_again(self) -> None:
        """Listen again at the same port."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    def silence_open(self) -> int:
        """Pass nothing more over the open connections, nor their end; return their number."""
        self._silent |= self._open.keys()
        return len(self._open)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._count += 1
        number = self._count
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open[number] = writer, there[1]
        try:
            await asyncio.gather(
                self._pass(number, reader, there[1]), self._pass(number, there[0], writer)
            )
        finally:
            self._open.pop(number, None)

    async def _pass(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if number not in self._silent:
                    writer.write(data)
                    await writer.drain()
        if number not in self._silent:
            writer.close()


class Site:
    """Gateways, a store and endpoints of one small deployment."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = RowService()
        self.store_port = 0
        self.endpoints: list[Endpoint] = []
        self.gateways: list[Gateway] = []
        self.proxies: list[Proxy] = []
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def start_store(self) -> None:
        """Start the store."""
        self.store_port = await self.store.start()

    async def add_endpoint(self, endpoint: Endpoint) -> None:
        """Start and register an endpoint, which goes on to write its registration."""
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.register(endpoint)

    def register(self, endpoint: Endpoint, state: str = "ready") -> None:
        """Write the registration of an endpoint now, and at a heartbeat if it is missing."""
        self.unregister(endpoint, remove=False)
        self.store.put("servers", endpoint.instance, endpoint.entry(state))
        self._beats[endpoint.instance] = asyncio.create_task(self._beat(endpoint, state))

    def unregister(self, endpoint: Endpoint, *, remove: bool = True) -> None:
        """Let an endpoint write its registration no more, and remove it."""
        beat = self._beats.pop(endpoint.instance, None)
        if beat is not None:
            beat.cancel()
        if remove:
            self.store.remove("servers", endpoint.instance)

    async def _beat(self, endpoint: Endpoint, state: str) -> None:
        # An entry changes only if more than its number changes.
        while True:
            await asyncio.sleep(1.2)
            names = [row["key"] for row in self.store.rows("servers")]
            if endpoint.instance not in names:
                self.store.put("servers", endpoint.instance, endpoint.entry(state))

    async def add_gateways(
        self, count: int, *, behind_proxy: bool = False, gap_s: float = 0.0
    ) -> None:
        """Start gateways, one every `gap_s` seconds, and wait until they are ready."""
        for number in range(count):
            store = f"127.0.0.1:{self.store_port}"
            if behind_proxy:
                proxy = Proxy("127.0.0.1", self.store_port)
                await proxy.start()
                self.proxies.append(proxy)
                store = f"{proxy.host}:{proxy.port}"
            zone = list(ZONES)[number % len(ZONES)]
            gateway = Gateway(f"front-{zone}-{number}", zone, self.folder, store)
            self.gateways.append(gateway)
            await gateway.start()
            await asyncio.sleep(gap_s)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.add(f"{count} gateways are ready")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.stop()
        for beat in self._beats.values():
            beat.cancel()
        for endpoint in self.endpoints:
            await endpoint.close()
        for proxy in self.proxies:
            await proxy.close()
        await self.store.close()


Play = Callable[[Site], Awaitable[bool]]


def run_case(script: str, play: Play) -> None:
    """Play a case and exit with its result; `play` returns whether the rule held."""
    folder = Path(script).resolve().parent
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as name:
            site = Site(Path(name), record)
            try:
                async with asyncio.timeout(110):
                    await site.start_store()
                    return HELD if await play(site) else BROKEN
            except (OSError, TimeoutError, EOFError) as exc:
                record.add(f"the case could not run: {exc!r}")
                return NOT_RUN
            finally:
                await site.close()

    result = asyncio.run(run())
    record.add({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "not run"))
    sys.exit(result)
