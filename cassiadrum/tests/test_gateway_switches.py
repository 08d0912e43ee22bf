"""Tests of the switches that each disable one mechanism of the gateway."""

import ast

import pytest

from bench.gateway_switches import ROOT, TABLE_PATH, Switch, load_switches, make_patch

SWITCHES = load_switches(TABLE_PATH.read_text())


class TestSwitches:
    """Guards against a switch that changes nothing, so that a comparison shows no difference.

    A switch quotes code of the gateway, which may have changed since.
    """

    @pytest.mark.parametrize("switch", SWITCHES, ids=lambda switch: switch.name)
    def test_patch_changes_the_file_and_leaves_it_valid(self, switch: Switch) -> None:
        text = (ROOT / switch.file).read_text()
        patch = make_patch(switch, text)
        assert patch.startswith(f"--- a/{switch.file}\n+++ b/{switch.file}\n@@ ")
        ast.parse(text.replace(switch.code, switch.replacement))

    def test_switch_without_matching_code_is_an_error(self) -> None:
        with pytest.raises(ValueError, match="has the code 0 times"):
            make_patch(SWITCHES[0], "")

    def test_names_are_unique(self) -> None:
        assert len({switch.name for switch in SWITCHES}) == len(SWITCHES)
