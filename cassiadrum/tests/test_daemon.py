"""Tests of the command that runs a daemon."""

import asyncio
import json
import sys
from pathlib import Path

import pytest

from cassiadrum import daemon

# Nothing listens on these ports: the daemon has to start while its platform is unreachable.
SETTINGS = """
role = "entry"
instance = "entry-1"
zone = "muenchen-a"
[platform]
table_service = "127.0.0.1:1"
instance_list = "127.0.0.1:1"
"""


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    path = tmp_path / "entry.toml"
    path.write_text(SETTINGS)
    return path


class TestCheckOption:
    """Guards against `--check` starting a daemon or accepting settings that a daemon refuses."""

    def check(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        arguments = ["cassiadrumd", "--check", "--settings", str(path)]
        monkeypatch.setattr(sys, "argv", arguments)
        monkeypatch.setattr(daemon, "build_daemon", lambda cfg: pytest.fail("a daemon is built"))
        daemon.main()

    def test_valid_settings(
        self, settings: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.check(settings, monkeypatch)
        assert capsys.readouterr().out == f"{settings}: valid settings of the entry entry-1\n"

    def test_invalid_settings(
        self, settings: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        settings.write_text(SETTINGS.replace("zone", "zoen"))
        with pytest.raises(SystemExit) as info:
            self.check(settings, monkeypatch)
        assert info.value.code == daemon.EXIT_BAD_INPUT
        assert "zoen: found an unknown key; allowed: `zone`" in capsys.readouterr().err


class TestProcess:
    """Guards against log lines that are not JSON and against a start that is not logged.

    The line about the start has to state the role, the instance and the admin address.
    """

    async def test_logs_its_start_and_stops_gracefully(self, settings: Path) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cassiadrum.daemon",
            "--settings",
            str(settings),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        addresses = json.loads(await process.stdout.readline())
        process.terminate()
        _, errors = await process.communicate()
        lines = [json.loads(line) for line in errors.splitlines()]
        started = [line for line in lines if line["message"].startswith("started")]
        assert process.returncode == 0
        assert len(started) == 1
        assert started[0]["admin"] == addresses["admin"]
        assert (started[0]["role"], started[0]["instance"]) == ("entry", "entry-1")
