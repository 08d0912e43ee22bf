"""Comparison of two versions of a service document."""

from difflib import unified_diff
from typing import NamedTuple

from cassiadrum.commands.actions import Session
from cassiadrum.commands.document_files import parse_record, read_document_file, read_record
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.results import Result
from cassiadrum.documents import ServiceDocument, changed_consequences

__all__ = ["ComparedDocument", "compare_documents"]


class ComparedDocument(NamedTuple):
    """Document to compare, with a label for the output; None for a deleted service."""

    label: str
    text: str
    document: ServiceDocument | None

    @classmethod
    async def read(cls, session: Session, service: str, source: str) -> "ComparedDocument":
        """Read a version, given as a number with 0 for the current one, or a file."""
        if source.isdecimal():
            record = await read_record(session.platform(), service, int(source))
            return cls(f"version {record.version}", record.text, parse_record(record))
        text, document = read_document_file(source)
        if document.name != service:
            detail = f"{source}: service.name: found {document.name!r}; allowed: {service!r}"
            raise CommandError(ExitCode.BAD_INPUT, detail)
        return cls(source, text, document)


def compare_documents(old: ComparedDocument, new: ComparedDocument) -> Result:
    """Return the differences in consequences and a unified diff of the texts."""
    changed = changed_consequences(old.document, new.document)
    before, after = old.text.splitlines(), new.text.splitlines()
    text = list(unified_diff(before, after, old.label, new.label, lineterm=""))
    data = {"old": old.label, "new": new.label, "consequences": changed, "text": text}
    if not text:
        return Result(data, [f"{old.label} and {new.label} are identical"])
    lines = changed or ["no change of consequences"]
    return Result(data, [f"consequences, {old.label} to {new.label}:", *lines, "text:", *text])
