"""Tests of the commands on services against a local site."""

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
    """Guards against a change that is lost, made twice, or overwrites another one.

    The answer is lost, two operators change the document at once, the store or the list is
    unavailable, or an operation id is used again for another text.
    """

    async def test_applied_version_is_in_force_everywhere(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        result = await run("service", "apply", str(edited), "--json")
        assert (result.code, result.data["version"], result.data["lagging"]) == (
            ExitCode.OK,
            2,
            {},
        )
        daemons = [
            *command_site.entries,
            *(endpoint.sidecar for endpoint in command_site.endpoints),
        ]
        assert {daemon.status()["versions"][REGISTER] for daemon in daemons} == {2}
        assert result.errors == ""

    async def test_accepted_event_satisfies_the_rule(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        result = await run("service", "apply", str(edited), "--json")
        await command_site.drain()
        record = command_site.record([])
        accepted = [
            event.fields
            for event in record.timeline.events
            if event.kind is EventKind.CONFIGURATION_ACCEPTED
        ]
        assert [(item["version"], item["operation_id"]) for item in accepted] == [
            (2, result.data["operation_id"])
        ]
        assert ConfigurationMonotonicRule().check(record) == []

    async def test_one_of_two_concurrent_changes_is_refused_with_the_difference(
        self, command_site: LocalSite, edited: Path, tmp_path: Path
    ) -> None:
        other = tmp_path / "other.toml"
        other.write_text(example(REGISTER).replace("min_share = 0.3", "min_share = 0.4"))
        arguments = [("service", "apply", str(path), "--base", "1") for path in (edited, other)]
        first, second = await asyncio.gather(*(run(*args) for args in arguments))
        assert sorted((first.code, second.code)) == [ExitCode.OK, ExitCode.REFUSED]
        refused_result = first if first.code else second
        assert "conflict: permit-register is at version 2" in refused_result.errors
        assert (
            "-max_wait_s = 60.0" in refused_result.errors
            or "+max_wait_s = 60.0" in refused_result.errors
        )

    async def test_lost_answer_is_repeated_without_a_second_version(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request
        lost_answers: list[bytes] = []

        async def drop_first_answer(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/") and not lost_answers:
                lost_answers.append(await response.read())
                raise AnswerLost("cut by the test")
            return response

        monkeypatch.setattr(HttpClient, "request", drop_first_answer)
        result = await run("service", "apply", str(edited), "--json")
        assert len(lost_answers) == 1
        assert (result.code, result.data["version"]) == (ExitCode.OK, 2)
        listed = await run("service", "versions", REGISTER, "--json")
        assert [row["version"] for row in listed.data["versions"]] == [1, 2]

    async def test_unknown_outcome_can_be_resumed_with_its_operation(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def drop_answer(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/"):
                await response.read()
                raise AnswerLost("cut by the test")
            return response

        with monkeypatch.context() as patch:
            patch.setattr(HttpClient, "request", drop_answer)
            result = await run("service", "apply", str(edited), "--json")
        assert result.code == ExitCode.OUTCOME_UNKNOWN
        operation = result.data["operation_id"]
        again = await run("service", "apply", str(edited), "--operation", operation, "--json")
        assert (again.code, again.data["version"]) == (ExitCode.OK, 2)

    async def test_refusal_after_a_lost_answer_leaves_the_outcome_unknown(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def drop_first_answer(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            if (
                target.startswith("/admin/services/")
                and not command_site.table_service.faults.down
            ):
                command_site.table_service.set_faults(Faults(down=True))
                raise AnswerLost("lost before the change was applied")
            return await send(self, method, target, *rest)

        with monkeypatch.context() as patch:
            patch.setattr(HttpClient, "request", drop_first_answer)
            result = await run("service", "apply", str(edited), "--json")
        command_site.table_service.set_faults(Faults())
        assert result.code == ExitCode.OUTCOME_UNKNOWN

    async def test_acceptance_is_reported_without_the_instance_list(
        self, command_site: LocalSite, edited: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        send = HttpClient.request

        async def stop_instance_list(
            self: HttpClient, method: str, target: str, *rest: Any
        ) -> HttpResponse:
            response = await send(self, method, target, *rest)
            if target.startswith("/admin/services/"):
                command_site.instance_list_service.set_faults(Faults(down=True))
            return response

        monkeypatch.setattr(HttpClient, "request", stop_instance_list)
        result = await run("service", "apply", str(edited), "--json")
        command_site.instance_list_service.set_faults(Faults())
        assert (result.code, result.data["version"]) == (ExitCode.UNREACHABLE, 2)

    async def test_operation_id_of_another_text_is_refused(
        self, command_site: LocalSite, edited: Path, tmp_path: Path
    ) -> None:
        first = await run("service", "apply", str(edited), "--json")
        other = tmp_path / "other.toml"
        other.write_text(example(REGISTER))
        operation = first.data["operation_id"]
        result = await run("service", "apply", str(other), "--operation", operation)
        assert result.code == ExitCode.REFUSED
        assert "was used for another text" in result.errors

    async def test_lagging_instance_is_named(self, command_site: LocalSite, edited: Path) -> None:
        await command_site.endpoints[0].sidecar.close()
        result = await run("service", "apply", str(edited), "--wait-s", "0.5", "--json")
        assert result.code == ExitCode.UNREACHABLE
        assert result.data["lagging"][command_site.endpoints[0].instance] == "does not answer"

    async def test_store_outage_is_a_refusal(self, command_site: LocalSite, edited: Path) -> None:
        command_site.table_service.set_faults(Faults(down=True))
        result = await run("service", "apply", str(edited), "--base", "1", "--json")
        command_site.table_service.set_faults(Faults())
        assert (result.code, result.data["result"]) == (ExitCode.REFUSED, "not_accepted")

    async def test_misspelt_flag_changes_nothing(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        with pytest.raises(SystemExit) as info:
            await run("service", "apply", str(edited), "--bsae", "1")
        assert info.value.code == ExitCode.BAD_INPUT
        listed = await run("service", "versions", REGISTER, "--json")
        assert len(listed.data["versions"]) == 1


class TestDocuments:
    """Guards against commands that show a wrong version or accept wrong input.

    Versions are given by number, as the current one or as a file, and a deleted service keeps its
    versions.
    """

    async def test_show_prints_the_text(self, command_site: LocalSite, edited: Path) -> None:
        await run("service", "apply", str(edited))
        current = await run("service", "show", REGISTER)
        first = await run("service", "show", REGISTER, "--version", "1")
        assert (current.text, first.text) == (EDITED, example(REGISTER))

    async def test_diff_shows_the_consequences(
        self, command_site: LocalSite, edited: Path
    ) -> None:
        result = await run("service", "diff", REGISTER, str(edited), "--json")
        assert [line[:40] for line in result.data["consequences"]] == [
            "- register-export: overload: once its ol",
            "+ register-export: overload: once its ol",
            "- register-export: waiting: at most 120 ",
            "+ register-export: waiting: at most 60 s",
        ]
        await run("service", "apply", str(edited))
        versions = await run("service", "diff", REGISTER, "1", "2", "--json")
        assert versions.data["consequences"] == result.data["consequences"]

    async def test_delete_ends_the_service_and_keeps_its_versions(
        self, command_site: LocalSite
    ) -> None:
        result = await run("service", "delete", REGISTER, "--json")
        assert (result.code, result.data["version"], result.data["lagging"]) == (
            ExitCode.OK,
            2,
            {},
        )
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
        result = await run(*arguments, "--json")
        assert (result.code, result.data["exit_code"]) == (ExitCode.BAD_INPUT, ExitCode.BAD_INPUT)
