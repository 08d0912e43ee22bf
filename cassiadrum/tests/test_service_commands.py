"""Tests of the commands on services against a local command_site."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from cassiadrum.commands import ExitCode
from cassiadrum.events import EventKind
from cassiadrum.invariants import ConfigurationMonotonicRule
from cassiadrum.protocols import AnswerLost, HttpClient, HttpResponse
from cassiadrum.sites import LocalSite
from cassiadrum.standins import Faults
from cassiadrum.tests.command_runs import run
from cassiadrum.tests.sites import example

REGISTER = "permit-register"
EDITED = example(REGISTER).replace("max_wait_s = 120.0", "max_wait_s = 60.0")


@pytest.fixture
def edited(tmp_path: Path) -> Path:
    path = tmp_path / "edited.toml"
    path.write_text(EDITED)
    return path


class TestApply:
    """Guards against a change that is lost, made twice, or overwrites another one."""

    async def test_is_in_force_everywhere(self, command_site: LocalSite, edited: Path) -> None:
        ran = await run("service", "apply", str(edited), "--json")
        assert (ran.code, ran.data["version"], ran.data["lagging"]) == (ExitCode.OK, 2, {})
        daemons = [
            *command_site.entries,
            *(endpoint.sidecar for endpoint in command_site.endpoints),
        ]
        assert {daemon.status()["versions"][REGISTER] for daemon in daemons} == {2}
        assert ran.errors == ""

    async def test_accepted_event_satisfies_the_rule(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        ran = await run("service", "apply", str(edited), "--json")
        await command_site.drain()
        record = command_site.record([])
        accepted = [
            event.fields
            for event in record.timeline.events
            if event.kind is EventKind.CONFIGURATION_ACCEPTED
        ]
        assert [(item["version"], item["operation_id"]) for item in accepted] == [
            (2, ran.data["operation_id"])
        ]
        assert ConfigurationMonotonicRule().check(record) == []

    async def test_of_two_racing_operators_one_gets_the_difference(
        self, command_site: LocalSite, edited: Path, tmp_path: Path
    ) -> None:
        other = tmp_path / "other.toml"
        other.write_text(example(REGISTER).replace("min_share = 0.3", "min_share = 0.4"))
        arguments = [("service", "apply", str(path), "--base", "1") for path in (edited, other)]
        first, second = await asyncio.gather(*(run(*given) for given in arguments))
        assert sorted((first.code, second.code)) == [ExitCode.OK, ExitCode.REFUSED]
        loser = first if first.code else second
        assert "conflict: permit-register is at version 2" in loser.errors
        assert "-max_wait_s = 60.0" in loser.errors or "+max_wait_s = 60.0" in loser.errors

    async def test_lost_answer_is_repeated_without_a_second_version(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request
        lost: list[bytes] = []

        async def lose_first(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/") and not lost:
                lost.append(await response.read())
                raise AnswerLost("cut by the test")
            return response

        monkeypatch.setattr(HttpClient, "request", lose_first)
        ran = await run("service", "apply", str(edited), "--json")
        assert len(lost) == 1
        assert (ran.code, ran.data["version"]) == (ExitCode.OK, 2)
        listed = await run("service", "versions", REGISTER, "--json")
        assert [row["version"] for row in listed.data["versions"]] == [1, 2]

    async def test_unknown_outcome_can_be_resumed_with_its_operation(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def lose(self: HttpClient, method: str, target: str, *rest: Any) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/"):
                await response.read()
                raise AnswerLost("cut by the test")
            return response

        with monkeypatch.context() as patch:
            patch.setattr(HttpClient, "request", lose)
            ran = await run("service", "apply", str(edited), "--json")
        assert ran.code == ExitCode.OUTCOME_UNKNOWN
        operation = ran.data["operation_id"]
        again = await run("service", "apply", str(edited), "--operation", operation, "--json")
        assert (again.code, again.data["version"]) == (ExitCode.OK, 2)

    async def test_refusal_after_a_lost_answer_leaves_the_outcome_unknown(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def lose_first(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            if (
                target.startswith("/admin/services/")
                and not command_site.table_service.faults.down
            ):
                command_site.table_service.set_faults(Faults(down=True))
                raise AnswerLost("cut by the test before it was applied")
            return await send(self, method, target, *rest)

        with monkeypatch.context() as patch:
            patch.setattr(HttpClient, "request", lose_first)
            ran = await run("service", "apply", str(edited), "--json")
        command_site.table_service.set_faults(Faults())
        assert ran.code == ExitCode.OUTCOME_UNKNOWN

    async def test_acceptance_is_told_without_the_instance_list(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def then_stop(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/"):
                command_site.instance_list_service.set_faults(Faults(down=True))
            return response

        monkeypatch.setattr(HttpClient, "request", then_stop)
        ran = await run("service", "apply", str(edited), "--json")
        command_site.instance_list_service.set_faults(Faults())
        assert (ran.code, ran.data["version"]) == (ExitCode.UNREACHABLE, 2)

    async def test_operation_id_of_another_text_is_refused(
        self, command_site: LocalSite, edited: Path, tmp_path: Path
    ) -> None:
        first = await run("service", "apply", str(edited), "--json")
        other = tmp_path / "other.toml"
        other.write_text(example(REGISTER))
        operation = first.data["operation_id"]
        ran = await run("service", "apply", str(other), "--operation", operation)
        assert ran.code == ExitCode.REFUSED
        assert "was used for another text" in ran.errors

    async def test_names_who_lags(self, command_site: LocalSite, edited: Path) -> None:
        await command_site.endpoints[0].sidecar.close()
        ran = await run("service", "apply", str(edited), "--wait-s", "0.5", "--json")
        assert ran.code == ExitCode.UNREACHABLE
        assert ran.data["lagging"][command_site.endpoints[0].instance] == "does not answer"

    async def test_store_outage_is_a_refusal(self, command_site: LocalSite, edited: Path) -> None:
        command_site.table_service.set_faults(Faults(down=True))
        ran = await run("service", "apply", str(edited), "--base", "1", "--json")
        command_site.table_service.set_faults(Faults())
        assert (ran.code, ran.data["result"]) == (ExitCode.REFUSED, "not_accepted")

    async def test_misspelt_flag_changes_nothing(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        with pytest.raises(SystemExit) as info:
            await run("service", "apply", str(edited), "--bsae", "1")
        assert info.value.code == ExitCode.BAD_INPUT
        listed = await run("service", "versions", REGISTER, "--json")
        assert len(listed.data["versions"]) == 1


class TestDocuments:
    """Guards against commands that show another version than asked for."""

    async def test_show_prints_the_text(self, command_site: LocalSite, edited: Path) -> None:
        await run("service", "apply", str(edited))
        current = await run("service", "show", REGISTER)
        first = await run("service", "show", REGISTER, "--version", "1")
        assert (current.text, first.text) == (EDITED, example(REGISTER))

    async def test_diff_shows_the_consequences(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        ran = await run("service", "diff", REGISTER, str(edited), "--json")
        assert [line[:40] for line in ran.data["consequences"]] == [
            "- register-export: overload: once its ol",
            "+ register-export: overload: once its ol",
            "- register-export: waiting: at most 120 ",
            "+ register-export: waiting: at most 60 s",
        ]
        await run("service", "apply", str(edited))
        versions = await run("service", "diff", REGISTER, "1", "2", "--json")
        assert versions.data["consequences"] == ran.data["consequences"]

    async def test_delete_ends_the_service_and_keeps_its_versions(
        self, command_site: LocalSite
    ) -> None:
        ran = await run("service", "delete", REGISTER, "--json")
        assert (ran.code, ran.data["version"], ran.data["lagging"]) == (ExitCode.OK, 2, {})
        refused = await run("request", f"{REGISTER}/permits/7", "--json")
        assert refused.data["problem"]["reason"] == "unknown_service"
        assert (await run("service", "show", REGISTER)).code == ExitCode.BAD_INPUT
        assert (await run("service", "show", REGISTER, "--version", "1")).code == ExitCode.OK

    @pytest.mark.parametrize(
        "arguments",
        [
            ("service", "check", "nowhere.toml"),
            ("service", "show", "nowhere"),
            ("service", "show", REGISTER, "--version", "x"),
            ("service", "diff", REGISTER),
            ("service", "delete", "nowhere"),
            ("timeline", "--kind", "nothing"),
            ("timeline", "--since", "noon"),
            ("timeline", "--out", "picture.png"),
            ("drain", "nowhere"),
            ("explain", "entry-1-00000000-1"),
            ("status", "--platform", "here"),
            ("status", "--platform", "a:1,b:65536"),
            ("request", "a/b", "--entry", "here"),
            ("request", "a/b", "--key", "line\nbreak"),
        ],
    )
    async def test_bad_input_has_its_code(
        self, command_site: LocalSite, arguments: list[str]
    ) -> None:
        ran = await run(*arguments, "--json")
        assert (ran.code, ran.data["exit_code"]) == (ExitCode.BAD_INPUT, ExitCode.BAD_INPUT)
