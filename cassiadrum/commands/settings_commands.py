"""Command that checks settings files."""

from pathlib import Path

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.results import Result
from cassiadrum.platform.errors import BadSettings
from cassiadrum.platform.node_settings import load_node_settings
from cassiadrum.schemas import Finding
from cassiadrum.settings import SettingsError, load_settings

__all__ = ["SettingsCommands"]

TOML_SUFFIX = ".toml"


class SettingsCommands:
    """Commands that check settings files without starting a process."""

    @argument_parsers()
    def check(self, *files: str) -> Action:
        """Check settings files and print one line for each error; needs no platform.

        A file with the suffix .toml holds the settings of cassiadrumd, any other file the JSON
        settings of a gateway on the platform.

        Example: cassiadrum settings check examples/settings/entry.toml boot.json
        """

        async def run(session: Session) -> Result:
            if not files:
                raise CommandError(ExitCode.BAD_INPUT, "FILES: found nothing; allowed: paths")
            found = [_check_file(Path(file)) for file in files]
            findings = [finding for _, wrong in found for finding in wrong]
            if findings:
                detail = "\n".join(str(finding) for finding in findings)
                rows = [finding._asdict() for finding in findings]
                raise CommandError(ExitCode.BAD_INPUT, detail, findings=rows)
            lines = [line for line, _ in found]
            return Result({"files": list(files)}, lines)

        return Action(run)


def _check_file(path: Path) -> tuple[str, list[Finding]]:
    """Return the line to print for a valid file, or the findings of an invalid one."""
    try:
        if path.suffix == TOML_SUFFIX:
            cfg = load_settings(path)
            return f"{path}: valid settings of the {cfg.role} {cfg.instance}", []
        node_cfg = load_node_settings(path)
        return f"{path}: valid settings of the gateway {node_cfg.instance}", []
    except (SettingsError, BadSettings) as exc:
        return "", exc.findings
