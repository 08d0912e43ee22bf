"""Service documents from files and from the table service."""

from pathlib import Path

from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.platforms import Platform
from cassiadrum.documents import DocumentError, ServiceDocument, parse_document
from cassiadrum.states import (
    CONFIG_TABLE,
    ConfigurationHistory,
    ConfigurationRecord,
    InvalidRecord,
)
from cassiadrum.stores import StoreUnavailable

__all__ = ["parse_record", "read_current_record", "read_document_file", "read_record"]


def read_document_file(path: str) -> tuple[str, ServiceDocument]:
    """Return the text and the parsed document of a file; raise CommandError with all findings."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(ExitCode.BAD_INPUT, f"{path}: {exc}") from exc
    try:
        return text, parse_document(text, path)
    except DocumentError as exc:
        findings = [finding._asdict() for finding in exc.findings]
        raise CommandError(ExitCode.BAD_INPUT, str(exc), findings=findings) from exc


async def read_current_record(platform: Platform, service: str) -> ConfigurationRecord:
    """Return the newest record, with version 0 for an unknown service.

    Raises CommandError if the record cannot be read.
    """
    try:
        row = await platform.table().get(CONFIG_TABLE, service)
        return ConfigurationRecord.from_row(service, row)
    except (StoreUnavailable, InvalidRecord) as exc:
        raise CommandError(ExitCode.UNREACHABLE, f"table service: {exc}") from exc


async def read_record(platform: Platform, service: str, version: int) -> ConfigurationRecord:
    """Return a version from the history, or the current record for version 0.

    Raises CommandError if there is no such version or it cannot be read.
    """
    if version == 0:
        record: ConfigurationRecord | None = await read_current_record(platform, service)
    else:
        try:
            record = await ConfigurationHistory(platform.table()).get(service, version)
        except (StoreUnavailable, InvalidRecord) as exc:
            raise CommandError(ExitCode.UNREACHABLE, f"table service: {exc}") from exc
    if record is None or record.version == 0:
        detail = (
            f"version {version} of {service} is not in the history"
            if version
            else f"no service {service}"
        )
        raise CommandError(ExitCode.BAD_INPUT, detail)
    return record


def parse_record(record: ConfigurationRecord) -> ServiceDocument | None:
    """Return the document of a record, or None for the record of a deletion."""
    if record.deleted:
        return None
    return parse_document(record.text, f"version {record.version}", accepted=True)
