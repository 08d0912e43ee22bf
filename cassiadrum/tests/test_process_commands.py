"""Tests of the commands on processes, requests and events against a local site."""

import asyncio
import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cassiadrum.cli import execute
from cassiadrum.commands import ExitCode
from cassiadrum.sites import LocalSite
from cassiadrum.standins import Faults
from cassiadrum.tests.command_runs import run
from cassiadrum.tests.sites import EXAMPLES

REGISTER = "permit-register"


class TestProcesses:
    """Guards against a status that hides a silent, draining or lagging process.

    The status asks each listed instance; one may not answer, have a wrong address, or the list or
    the table service may be unavailable.
    """

    async def test_status_of_a_healthy_site(self, command_site: LocalSite) -> None:
        result = await run("status", "--json")
        assert result.code == ExitCode.OK
        assert len(result.data["instances"]) == len(command_site.entries) + len(
            command_site.endpoints
        )
        assert result.data["versions"] == {REGISTER: 1, "sprachdienst": 1}
        services = {row["service"]: row for row in result.data["services"]}
        assert len(services["sprachdienst"]["endpoints"]) == 6
        assert services[REGISTER]["classes"][0] == "status-check"

    async def test_status_names_a_silent_instance(self, command_site: LocalSite) -> None:
        await command_site.endpoints[0].sidecar.close()
        result = await run("status", "--json")
        assert result.code == ExitCode.UNREACHABLE
        silent_instances = [
            row["instance"] for row in result.data["instances"] if not row["answers"]
        ]
        assert silent_instances == [command_site.endpoints[0].instance]

    async def test_status_without_the_table_service(self, command_site: LocalSite) -> None:
        command_site.table_service.set_faults(Faults(down=True))
        result = await run("status")
        command_site.table_service.set_faults(Faults())
        assert result.code == ExitCode.UNREACHABLE
        assert "table service: the store is unavailable" in result.text

    async def test_drained_instance_is_shown(self, command_site: LocalSite) -> None:
        assert (await run("drain", "sprachdienst-1")).code == ExitCode.OK
        rows = (await run("status", "--json")).data["instances"]
        assert [row["instance"] for row in rows if row["draining"]] == ["sprachdienst-1"]

    async def test_wrong_address_in_the_list(self, command_site: LocalSite) -> None:
        endpoint = command_site.endpoints[0]
        wrong = {"instance": endpoint.instance, "role": "sidecar", "service": endpoint.service}
        wrong |= {
            "zone": endpoint.zone,
            "link_address": "x",
            "admin_address": "x",
            "state": "live",
        }
        command_site.instance_list_service.set_faults(Faults(wrong=[wrong]))
        result = await run("status", "--json")
        command_site.instance_list_service.set_faults(Faults())
        assert (result.code, result.data["instances"][0]["answers"]) == (
            ExitCode.UNREACHABLE,
            False,
        )

    async def test_no_instance_list(self) -> None:
        result = await run("status", "--platform", "127.0.0.1:1,127.0.0.1:1")
        assert result.code == ExitCode.UNREACHABLE


class TestRequests:
    """Guards against a client that hides a refusal, and an explanation without the cause.

    Exit codes and reasons come from the problem in the answer; `explain` finds the cause in the
    events of all processes.
    """

    async def test_stream_is_printed_and_explained(self, command_site: LocalSite) -> None:
        body = json.dumps({"prompt": "yoke", "stream": True})
        request_args = ("request", "sprachdienst/v1/completions", "--body", body)
        result = await run(*request_args, "--json")
        assert (result.code, result.data["status"]) == (ExitCode.OK, 200)
        assert "data: [DONE]" in (await run(*request_args)).text
        explanation = await run("explain", result.data["request_id"])
        assert explanation.code == ExitCode.OK
        for text in (
            "class assessment",
            "attempt 1 sent to sprachdienst-",
            "complete answer sent",
        ):
            assert text in explanation.text

    async def test_refusal_has_its_reason(self, command_site: LocalSite) -> None:
        result = await run("request", f"{REGISTER}/permits", "--body", "{}", "--json")
        assert (result.code, result.data["problem"]["reason"]) == (
            ExitCode.BAD_INPUT,
            "key_required",
        )

    async def test_refusal_of_an_outage_is_explained(self, command_site: LocalSite) -> None:
        command_site.table_service.set_faults(Faults(down=True))
        result = await run(
            "request", f"{REGISTER}/permits", "--body", "{}", "--key", "k", "--json"
        )
        command_site.table_service.set_faults(Faults())
        problem = result.data["problem"]
        assert (result.code, problem["reason"]) == (ExitCode.REFUSED, "store_unavailable")
        explanation = await run("explain", problem["request_id"])
        assert "refused (ran: no): the claim of a once-only call could not be" in explanation.text

    async def test_no_entry_instance(self) -> None:
        result = await run("request", "a/b", "--entry", "127.0.0.1:1")
        assert (result.code, "nothing was sent" in result.errors) == (ExitCode.UNREACHABLE, True)


class TestTimeline:
    """Guards against events that are missing from the merged timeline without a note.

    A process may not answer, and a follower reads the events of each process repeatedly.
    """

    async def test_filters(self, command_site: LocalSite) -> None:
        await run("request", f"{REGISTER}/permits/7")
        filtered = await run(
            "timeline", "--service", REGISTER, "--kind", "received,started", "--json"
        )
        kinds = [event["kind"] for event in filtered.data["events"]]
        assert (filtered.code, kinds) == (ExitCode.OK, ["received", "started"])
        old = await run("timeline", "--until", "3600", "--json")
        assert old.data["count"] == 0

    @pytest.mark.parametrize(
        ("suffix", "part"),
        [
            ("html", "<!DOCTYPE html>"),
            ("svg", "<svg"),
            ("json", '"traceEvents"'),
            ("jsonl", '"kind":"received"'),
        ],
    )
    async def test_output_file(
        self, command_site: LocalSite, tmp_path: Path, suffix: str, part: str
    ) -> None:
        await run("request", f"{REGISTER}/permits/7")
        path = tmp_path / f"line.{suffix}"
        assert (await run("timeline", "--out", str(path))).code == ExitCode.OK
        assert part in await asyncio.to_thread(path.read_text)

    async def test_follow_prints_new_events_once(self, command_site: LocalSite) -> None:
        stream = io.StringIO()
        arguments = ("timeline", "--follow", "--kind", "received")
        task = asyncio.create_task(execute(arguments, stream))
        for count in range(1, 4):
            await run("request", f"{REGISTER}/permits/7")
            # If an event is never printed, the time limit of the test ends the loop.
            while stream.getvalue().count("received") < count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        task.cancel()
        lines = stream.getvalue().splitlines()
        assert (len(lines), len(set(lines))) == (3, 3)

    async def test_follow_ends_after_the_given_seconds(self, command_site: LocalSite) -> None:
        result = await run("timeline", "--follow", "--seconds", "0.1", "--json")
        assert result.code == ExitCode.OK

    async def test_silent_process_is_named(self, command_site: LocalSite) -> None:
        await command_site.endpoints[0].sidecar.close()
        result = await run("timeline", "--json")
        assert (result.code, result.data["silent"]) == (
            ExitCode.UNREACHABLE,
            [command_site.endpoints[0].instance],
        )


class TestOutput:
    """Guards against a traceback when the reader of the output closes the pipe, as `head` does."""

    def test_closed_pipe(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        document = str(EXAMPLES / "sprachdienst.toml")
        command = [sys.executable, "-m", "cassiadrum.cli", "service", "check", document]
        result = subprocess.run(command, stdout=writer, stderr=subprocess.PIPE, check=False)
        os.close(writer)
        assert (result.returncode, result.stderr) == (141, b"")
