"""Child processes of a measurement and their CPU time and memory."""

import asyncio
import itertools
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

__all__ = ["ChildProcess", "ProcessGroup"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_TIMEOUT_S = 20.0
# Guards against a mistake in a measurement's parameters.
MAX_CHILDREN = 120


class ChildProcess:
    """A child process; `startup_info` is the JSON object with addresses printed at its start."""

    def __init__(self, process: asyncio.subprocess.Process, startup_info: dict[str, Any]) -> None:
        self.process = process
        self.startup_info = startup_info

    def cpu_s(self) -> float:
        """Return the user and system CPU time so far in seconds."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def rss_bytes(self) -> int:
        """Return the resident memory in bytes."""
        statm = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(statm[1]) * PAGE_BYTES

    async def stop(self) -> None:
        """Kill the process if it runs, and wait for its exit."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class ProcessGroup:
    """Context manager that starts Python modules as child processes and kills them on exit."""

    def __init__(self) -> None:
        self._children: list[ChildProcess] = []
        self._numbers = itertools.count()
        self._directory = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "ProcessGroup":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.gather(*(child.stop() for child in self._children))
        self._directory.cleanup()

    async def start(self, module: str, *arguments: str) -> ChildProcess:
        """Start a module and wait until it prints its startup information.

        Raises TimeoutError after START_TIMEOUT_S, and RuntimeError if MAX_CHILDREN were started.
        """
        if len(self._children) >= MAX_CHILDREN:
            raise RuntimeError(f"more than {MAX_CHILDREN} child processes")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, stdout=asyncio.subprocess.PIPE
        )
        child = ChildProcess(process, {})
        self._children.append(child)
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            child.startup_info = json.loads(await process.stdout.readline())
        return child

    async def start_logged(self, module: str, variable: str, settings: str) -> ChildProcess:
        """Start a module whose settings file is named by an environment variable.

        Its standard output goes to a log file. Raises RuntimeError if MAX_CHILDREN were started.
        """
        if len(self._children) >= MAX_CHILDREN:
            raise RuntimeError(f"more than {MAX_CHILDREN} child processes")
        path = Path(self._directory.name) / f"{next(self._numbers)}.json"
        path.write_text(settings)
        with path.with_suffix(".log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, env={**os.environ, variable: str(path)}, stdout=log
            )
        child = ChildProcess(process, {})
        self._children.append(child)
        return child

    async def start_daemon(self, settings: str) -> ChildProcess:
        """Start a daemon with the given TOML settings."""
        path = Path(self._directory.name) / f"{next(self._numbers)}.toml"
        path.write_text(settings)
        return await self.start("cassiadrum.daemon", "--settings", str(path))
