"""Tests of `cassiadrum log` and `cassiadrum explain` on log files of gateways."""

import asyncio
import io
import json
from typing import Any

import pytest

from cassiadrum.cli import execute
from cassiadrum.protocols import AnswerLost
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import (
    Caller,
    PlatformSite,
    make_configuration,
    poll_until,
    wait_until,
)

pytestmark = pytest.mark.integration


async def kill_and_read_log(
    gateway: GatewaySubprocess, request_id: str, around: str = "0"
) -> list[dict[str, Any]]:
    """Kill the gateway and return the lines that `cassiadrum log` finds in its log file."""
    await gateway.kill()
    stream = io.StringIO()
    arguments = ["log", str(gateway.log), "--request", request_id, "--around", around, "--json"]
    assert await execute(arguments, stream) == 0
    lines: list[dict[str, Any]] = json.loads(stream.getvalue())["lines"]
    return lines


async def explain(gateway: GatewaySubprocess, request_id: str) -> str:
    """Return the output of `cassiadrum explain` for the log file of the killed gateway."""
    stream = io.StringIO()
    assert await execute(["explain", request_id, str(gateway.log)], stream) == 0
    return stream.getvalue()


async def wait_for_log_writer() -> None:
    """Wait until the log thread has written the lines of the last request."""
    await asyncio.sleep(0.3)


def make_log_row(instance: str, request_id: str, **fields: Any) -> str:
    """Return one line of a log file."""
    return json.dumps({"instance": instance, "request_id": request_id, **fields}) + "\n"


class TestExplain:
    """Guards against a failed request whose cause cannot be found in the log.

    The gateway is killed before its log is read, so the cause must be in the lines that it had
    already written.
    """

    async def test_refused_under_overload(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].hang = True
        others = [Caller(gateway.calls_port) for _ in range(16)]
        tasks = [
            asyncio.create_task(other.call("/once/a", request_id=f"o-{number}"))
            for number, other in enumerate(others)
        ]
        await wait_until(lambda: sum(site.runs(f"o-{number}") for number in range(16)) == 16)
        status, _, _ = await caller.call("/once/a", request_id="refused")
        await wait_for_log_writer()
        lines = await kill_and_read_log(gateway, "refused")
        await asyncio.gather(*tasks, return_exceptions=True)
        assert status == 503
        assert [line["message"] for line in lines] == ["received", "refused", "ended"]
        inputs = lines[1]["fields"]
        assert (inputs["outstanding"], inputs["slots"]) == (16, 16)
        assert "overloaded" in lines[2]["fields"]["outcome"]
        explanation = await explain(gateway, "refused")
        assert (
            "no endpoint had room in time: 16 requests at 2 endpoints with 16 slots" in explanation
        )

    async def test_stream_cut_at_both_endpoints(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        for name in ("e-1", "e-2"):
            site.endpoints[name].cut_after = 3
        with pytest.raises(AnswerLost):
            await caller.call("/stream/a", events=20, request_id="cut")
        await wait_for_log_writer()
        lines = await kill_and_read_log(gateway, "cut")
        failed = [line["fields"] for line in lines if line["message"] == "attempt failed"]
        placed = [line["fields"]["endpoint"] for line in lines if line["message"] == "placed"]
        assert [item["repeated"] for item in failed] == [True, False]
        assert set(placed) == {"e-1", "e-2"}
        assert "answer lost" in lines[-1]["fields"]["outcome"]
        explanation = await explain(gateway, "cut")
        assert "attempt failed: answer lost" in explanation
        assert all(f"{name} of engine registered in a" in explanation for name in ("e-1", "e-2"))
        assert "p-1" not in explanation

    async def test_denied_after_a_key_change(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        other = [{"name": "st-martin", "api_keys": ["key-2"]}]
        site.store.put("op", "config", make_configuration(7, tenants=other))

        async def denied() -> bool:
            return (await caller.call("/safe/a", request_id="denied"))[0] == 401

        await poll_until(denied, 2.0)
        await wait_for_log_writer()
        lines = await kill_and_read_log(gateway, "denied", around="5")
        process_lines = [line for line in lines if not line["request_id"]]
        assert ("configuration in force", 7) in [
            (line["message"], line["fields"].get("version")) for line in process_lines
        ]
        end = lines[-1]["fields"]
        assert (end["outcome"], end["version"]) == ("denied: unknown_key", 7)
        assert "key-1" not in gateway.log.read_text()
        explanation = await explain(gateway, "denied")
        assert "(configuration 7 came into force)" in explanation
        assert "outcome: denied: unknown_key" in explanation

    async def test_removed_endpoint_is_logged_by_the_gateway(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        """Guards against a removed endpoint whose log line names the endpoint as its writer."""
        status, _, _ = await caller.call("/once/a", request_id="before")
        assert status == 200
        for name in ("p-1", "p-2"):
            site.store.remove("servers", name)

        async def refused() -> bool:
            return (await caller.call("/once/a"))[0] == 503

        await poll_until(refused)
        status, _, _ = await caller.call("/once/a", request_id="after")
        assert status == 503
        await wait_for_log_writer()
        lines = await kill_and_read_log(gateway, "after", around="8")
        out = {
            line["fields"]["endpoint"]: line for line in lines if line["message"] == "endpoint out"
        }
        assert set(out) == {"p-1", "p-2"}
        assert {line["instance"] for line in out.values()} == {"front-a-1"}


class TestLogCommand:
    """Guards against merged logs that silently omit lines or show them in the wrong order.

    Lines can be unreadable, dropped by the rate limit of the writer, or stamped by a clock that
    was set back.
    """

    async def test_unreadable_lines_are_counted_and_order_is_by_time(self, tmp_path: Any) -> None:
        first, second = tmp_path / "a.log", tmp_path / "b.log"
        line = {"instance": "a", "message": "one", "time": "2026-12-04T05:00:02+00:00"}
        first.write_text(json.dumps(line) + "\nnot json\n")
        line = {"instance": "b", "message": "two", "time": "2026-12-04T05:00:01+00:00"}
        second.write_text(json.dumps(line) + "\n")
        stream = io.StringIO()
        assert await execute(["log", str(first), str(second), "--json"], stream) == 0
        found = json.loads(stream.getvalue())
        assert [line["message"] for line in found["lines"]] == ["two", "one"]
        assert found["unreadable"] == 1

    async def test_clock_step_does_not_reorder_a_request(self, tmp_path: Any) -> None:
        """Guards against an outcome shown before its cause if the clock was set back."""
        rows = [
            {"message": "received", "at_s": 100.0, "after_ms": 0.0},
            {"message": "placed", "at_s": 40.0, "after_ms": 10.0},
            {"message": "ended", "at_s": 40.5, "after_ms": 510.0},
        ]
        path = tmp_path / "a.log"
        path.write_text("".join(make_log_row("a", "r-1", **row) for row in rows))
        stream = io.StringIO()
        assert await execute(["log", str(path), "--json"], stream) == 0
        found = json.loads(stream.getvalue())["lines"]
        assert [(line["message"], round(line["at_s"], 2)) for line in found] == [
            ("received", 100.0),
            ("placed", 100.01),
            ("ended", 100.51),
        ]

    async def test_gaps_are_reported(self, tmp_path: Any) -> None:
        """Guards against a request with dropped lines that looks as if it had never arrived."""
        path = tmp_path / "a.log"
        rows = [(1.0, "r-0", 100), (39.0, "r-3", 4), (41.0, "r-1", 3)]
        path.write_text(
            "".join(
                make_log_row(
                    "a", name, message="ended", at_s=at_s, after_ms=1.0, left_out=left_out
                )
                for at_s, name, left_out in rows
            )
        )
        stream, errors = io.StringIO(), io.StringIO()
        assert await execute(["explain", "r-1", str(path)], stream) == 0
        assert "gap: a dropped 7 lines before" in stream.getvalue()
        assert await execute(["explain", "r-2", str(path)], io.StringIO(), errors) == 3
        assert "a dropped 107 lines" in errors.getvalue()

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["--request", "x"], 3),
            (["--request", "x", "--around", "soon"], 2),
            (["--request"], 2),
        ],
    )
    async def test_invalid_arguments_and_unknown_requests(
        self, tmp_path: Any, arguments: list[str], code: int
    ) -> None:
        path = tmp_path / "a.log"
        line = {"instance": "a", "message": "one", "time": "2026-12-04T05:00:02+00:00"}
        path.write_text(json.dumps(line))
        assert await execute(["log", str(path), *arguments], io.StringIO(), io.StringIO()) == code
        assert await execute(["log", str(tmp_path / "no")], None, io.StringIO()) == 2
