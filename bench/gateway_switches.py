"""Write a patch for each mechanism of the gateway that disables it.

Run `python -m bench.gateway_switches DIRECTORY [NAME...]`. Each patch is a unified diff against
the source tree. Applied to a copy, it allows a workload to be replayed without the mechanism and
compared with the unchanged tree.
"""

import difflib
import sys
import tomllib
from pathlib import Path
from typing import NamedTuple

__all__ = ["Switch", "load_switches", "make_patch"]

ROOT = Path(__file__).parents[1]
TABLE_PATH = ROOT / "bench" / "gateway_switches.toml"


class Switch(NamedTuple):
    """A mechanism, the exact code that implements it and the code that disables it."""

    name: str
    mechanism: str
    file: str
    code: str
    replacement: str


def load_switches(text: str) -> list[Switch]:
    """Parse the switches of a TOML table."""
    return [Switch(**entry) for entry in tomllib.loads(text)["switch"]]


def make_patch(switch: Switch, text: str) -> str:
    """Return the unified diff against the text of the file.

    Raises ValueError if the code does not occur exactly once.
    """
    count = text.count(switch.code)
    if count != 1:
        raise ValueError(
            f"switch {switch.name}: {switch.file} has the code {count} times, expected once"
        )
    changed = text.replace(switch.code, switch.replacement)
    lines = difflib.unified_diff(
        text.splitlines(keepends=True),
        changed.splitlines(keepends=True),
        f"a/{switch.file}",
        f"b/{switch.file}",
    )
    return "".join(lines)


def main() -> None:
    """Write the patches of the switches named on the command line, by default of all."""
    directory, names = Path(sys.argv[1]), sys.argv[2:]
    directory.mkdir(parents=True, exist_ok=True)
    for switch in load_switches(TABLE_PATH.read_text()):
        if names and switch.name not in names:
            continue
        path = directory / f"{switch.name}.patch"
        path.write_text(make_patch(switch, (ROOT / switch.file).read_text()))
        print(f"{path}: {switch.mechanism}")


if __name__ == "__main__":
    main()
