"""Tests of the settings file and the store records of the platform."""

import json
from pathlib import Path

import pytest

from cassiadrum.platform.errors import BadRecord, BadSettings
from cassiadrum.platform.node_settings import parse_node_settings
from cassiadrum.platform.records import decode_catalog, decode_entry
from cassiadrum.tests.command_runs import run
from cassiadrum.tests.gateways.sites import make_configuration, make_settings, write_settings

ENTRY = {
    "service": "plain",
    "address": "10.1.0.2:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "born": 7,
}


class TestNodeSettings:
    """Guards against a process that starts with settings that it has misread.

    Unknown keys are ignored; invalid values must stop the start, with the key in the error.
    """

    def test_values_and_units(self) -> None:
        cfg = parse_node_settings(json.dumps(make_settings(1, 2, 3)).encode())
        assert (cfg.store.port, cfg.calls.port, cfg.readiness.port) == (1, 2, 3)
        assert cfg.bounds.revoke_s == 2.5
        assert cfg.bounds.strict_keys

    def test_unknown_keys_are_ignored(self) -> None:
        raw = {**make_settings(1, 2, 3), "new_key": [1]}
        assert parse_node_settings(json.dumps(raw).encode()).zone == "a"

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("zone", 7),
            ("zone", ""),
            ("node", ""),
            ("ip", None),
            ("platform", {}),
            ("listen", {"front": "nonsense"}),
            ("limits", {"memory_mb": 1e305}),
            ("limits", {"max_fds": 10**400}),
        ],
    )
    def test_error_names_the_key_of_the_invalid_value(self, key: str, value: object) -> None:
        raw = {**make_settings(1, 2, 3), key: value}
        with pytest.raises(BadSettings) as caught:
            parse_node_settings(json.dumps(raw).encode())
        assert key in str(caught.value)

    def test_metrics_of_a_machine_without_an_address_are_not_on_every_address(self) -> None:
        """Guards against an absent address that opens the metrics to all networks."""
        raw = make_settings(1, 2, 3)
        empty = parse_node_settings(json.dumps({**raw, "ip": ""}).encode())
        del raw["ip"]
        absent = parse_node_settings(json.dumps(raw).encode())
        assert (empty.host, absent.host) == ("127.0.0.1", "127.0.0.1")

    def test_all_errors_are_reported_at_once(self) -> None:
        """Guards against errors that are found one by one, at one start of the process each."""
        raw = {**make_settings(1, 2, 3), "zone": 7, "limits": {"max_fds": 0}}
        del raw["platform"]["address"]
        raw["bounds"]["contact_ms"] = "soon"
        with pytest.raises(BadSettings) as caught:
            parse_node_settings(json.dumps(raw).encode(), "boot.json")
        assert [str(finding) for finding in caught.value.findings] == [
            "boot.json: zone: found 7; allowed: a text that is not empty",
            "boot.json: platform.address: found nothing; allowed: a value; the key is required",
            "boot.json: limits.max_fds: found 0; allowed: a whole number from 1 to 2147483647",
            "boot.json: bounds.contact_ms: found 'soon'; allowed: a number above 0, at most 1e12",
        ]


class TestSettingsCheck:
    """Guards against invalid settings that are only found when a process starts."""

    async def test_valid_files_of_both_formats(self, tmp_path: Path) -> None:
        path = tmp_path / "boot.json"
        write_settings(path, make_settings(1, 2, 3))
        toml = Path(__file__).parents[3] / "examples" / "settings" / "entry.toml"
        ran = await run("settings", "check", str(toml), str(path))
        assert ran.code == 0
        assert ran.text.splitlines() == [
            f"{toml}: valid settings of the entry entry-1",
            f"{path}: valid settings of the gateway front-a-1",
        ]

    async def test_errors_of_all_files_are_reported(self, tmp_path: Path) -> None:
        path, toml = tmp_path / "boot.json", tmp_path / "entry.toml"
        path.write_text("{")
        toml.write_text("role = 7")
        ran = await run("settings", "check", str(path), str(toml))
        assert ran.code == 2
        assert f"{path}: (syntax)" in ran.errors
        assert f"{toml}: role: found 7" in ran.errors


class TestRecords:
    """Guards against invalid rows of other writers that stop a service."""

    def test_registration(self) -> None:
        entry = decode_entry("i-1", json.dumps(ENTRY).encode())
        assert (entry.started_ms, entry.leaving, entry.address.port) == (7, False, 80)

    @pytest.mark.parametrize(
        "change",
        [{"state": "sleeping"}, {"slots": "many"}, {"slots": 0}, {"address": ":80"}, {"zone": 1}],
    )
    def test_invalid_registration_is_rejected(self, change: dict[str, object]) -> None:
        with pytest.raises(BadRecord):
            decode_entry("i-1", json.dumps({**ENTRY, **change}).encode())

    @pytest.mark.parametrize("change", [{"version": "x"}, {"routes": [{"name": "r"}]}])
    def test_invalid_configuration_is_rejected(self, change: dict[str, object]) -> None:
        with pytest.raises(BadRecord):
            decode_catalog(json.dumps({**make_configuration(), **change}).encode())

    def test_split_route(self) -> None:
        raw = make_configuration()
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        raw["routes"][0] = {**raw["routes"][0], "split": split}
        route = decode_catalog(json.dumps(raw).encode()).route("127.0.0.1", "/once/a")
        assert route is not None
        assert [share.service for share in route.shares] == ["x", "y"]
