"""Commands that check, change and show service documents."""

import getpass
from datetime import UTC, datetime
from typing import Any

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers, parse_seconds, parse_whole_number
from cassiadrum.commands.document_files import (
    read_current_record,
    read_document_file,
    read_record,
)
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.results import Result
from cassiadrum.commands.service_changes import (
    ServiceChange,
    make_operation_id,
    submit_and_wait,
)
from cassiadrum.commands.service_differences import ComparedDocument, compare_documents
from cassiadrum.documents import class_consequences, consequence_lines
from cassiadrum.states import ConfigurationHistory, InvalidRecord
from cassiadrum.stores import StoreUnavailable

__all__ = ["ServiceCommands"]

# Target for the time until a change is in force everywhere.
ROLLOUT_TARGET_S = 11.0


class ServiceCommands:
    """Check, change and show service documents."""

    @argument_parsers()
    def check(self, file: str) -> Action:
        """Validate a document and explain its consequences; needs no platform.

        Example: cassiadrum service check examples/auftragsdienst.toml
        """

        async def run(session: Session) -> Result:
            _, document = read_document_file(file)
            classes = [part._asdict() for part in class_consequences(document)]
            data = {"file": file, "service": document.name, "classes": classes}
            return Result(data, consequence_lines(document))

        return Action(run)

    @argument_parsers(base=parse_whole_number, wait_s=parse_seconds)
    def apply(
        self, file: str, *, base: int = -1, operation: str = "", wait_s: float = ROLLOUT_TARGET_S
    ) -> Action:
        """Submit a document and wait until it is in force everywhere.

        By default, the version that is current at the start of the command is replaced. Set
        --base to the version that was edited, so that a change made in the meantime causes a
        conflict. After exit code 5, run the command again with the --operation that it printed.

        Example: cassiadrum service apply examples/auftragsdienst.toml --base 3
        """

        async def run(session: Session) -> Result:
            text, document = read_document_file(file)
            version = base
            if version < 0:
                version = (await read_current_record(session.platform(), document.name)).version
            change = ServiceChange(
                document.name, version, operation or make_operation_id(), _author(), text
            )
            return await submit_and_wait(session, change, wait_s)

        return Action(run)

    @argument_parsers(version=parse_whole_number)
    def show(self, name: str, *, version: int = 0) -> Action:
        """Print the text of the current version, or of a version in the history.

        Example: cassiadrum service show auftragsdienst --version 2
        """

        async def run(session: Session) -> Result:
            record = await read_record(session.platform(), name, version)
            if record.deleted:
                detail = f"{name} was deleted with version {record.version}"
                raise CommandError(ExitCode.BAD_INPUT, detail)
            return Result(record._asdict(), record.text.splitlines())

        return Action(run)

    @argument_parsers()
    def diff(self, name: str, *sides: str) -> Action:
        """Show the differences in consequences and text between two versions, or to a file.

        A single version or file is compared with the current version.

        Examples: cassiadrum service diff auftragsdienst examples/auftragsdienst.toml;
        cassiadrum service diff auftragsdienst 2 3
        """

        async def run(session: Session) -> Result:
            if len(sides) not in (1, 2):
                detail = f"diff: found {len(sides)} sides; allowed: one or two versions or files"
                raise CommandError(ExitCode.BAD_INPUT, detail)
            old, new = sides if len(sides) == 2 else ("0", sides[0])
            return compare_documents(
                await ComparedDocument.read(session, name, old),
                await ComparedDocument.read(session, name, new),
            )

        return Action(run)

    @argument_parsers()
    def versions(self, name: str) -> Action:
        """List the versions in the history with their authors and times.

        Example: cassiadrum service versions auftragsdienst
        """

        async def run(session: Session) -> Result:
            history = ConfigurationHistory(session.platform().table())
            try:
                records = await history.versions(name)
            except (StoreUnavailable, InvalidRecord) as exc:
                raise CommandError(ExitCode.UNREACHABLE, f"table service: {exc}") from exc
            if not records:
                raise CommandError(ExitCode.BAD_INPUT, f"no service {name}")
            rows: list[dict[str, Any]] = [
                {key: getattr(record, key) for key in ("version", "author", "deleted")}
                | {
                    "accepted_at": _iso_time(record.accepted_at),
                    "operation_id": record.operation_id,
                }
                for record in records
            ]
            return Result(
                {"service": name, "versions": rows}, [_version_line(row) for row in rows]
            )

        return Action(run)

    @argument_parsers(base=parse_whole_number, wait_s=parse_seconds)
    def delete(
        self, name: str, *, base: int = -1, operation: str = "", wait_s: float = ROLLOUT_TARGET_S
    ) -> Action:
        """Delete a service; its versions remain in the history.

        Example: cassiadrum service delete auftragsdienst --base 3
        """

        async def run(session: Session) -> Result:
            current = await read_current_record(session.platform(), name)
            # With an operation id, an earlier attempt may already have deleted the service.
            if current.version == 0 or (current.deleted and not operation):
                raise CommandError(ExitCode.BAD_INPUT, f"no service {name}")
            version = base if base >= 0 else current.version
            change = ServiceChange(
                name, version, operation or make_operation_id(), _author(), deleted=True
            )
            return await submit_and_wait(session, change, wait_s)

        return Action(run)


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _iso_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def _version_line(row: dict[str, Any]) -> str:
    deleted = "  deleted" if row["deleted"] else ""
    return f"{row['version']:>5}  {row['accepted_at']}  {row['author']}{deleted}"
