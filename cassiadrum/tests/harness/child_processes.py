"""A child process of a test."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

__all__ = ["ChildProcess"]

START_TIMEOUT_S = 30.0


class ChildProcess:
    """Run a Python module; `ready` is the JSON object that it prints once it serves."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        self.ready: dict[str, Any] = {}
        self.log = log
        self._process = process

    @classmethod
    async def start(cls, module: str, arguments: list[str], log: Path) -> "ChildProcess":
        """Start `python -m module` and wait until it is ready; stderr is appended to `log`."""
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        child = cls(process, log)
        try:
            child.ready = json.loads(await child.read_line(START_TIMEOUT_S))
        except BaseException:
            await child.kill()
            raise
        return child

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.returncode is None

    async def read_line(self, limit_s: float) -> str:
        """Return the next line of standard output; raise RuntimeError at its end."""
        assert self._process.stdout is not None
        async with asyncio.timeout(limit_s):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"process closed its output: {self.log.read_text()[-2000:]}")
        return line.decode()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self._signal(signal.SIGTERM)

    async def wait(self, limit_s: float = 40.0) -> int:
        """Wait for the end of the process and return its exit code."""
        async with asyncio.timeout(limit_s):
            return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    def _signal(self, number: signal.Signals) -> None:
        if self.running:
            os.kill(self._process.pid, number)
