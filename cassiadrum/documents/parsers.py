"""Parser and validation of service documents."""

import tomllib
from typing import Any

import msgspec

from cassiadrum.defaults import DOCUMENT_DEFAULTS
from cassiadrum.documents.consistency_checks import check_consistency
from cassiadrum.documents.errors import DocumentError
from cassiadrum.documents.request_classes import RequestClass
from cassiadrum.documents.schemas import ClassTable, DocumentTable, ServiceTable
from cassiadrum.documents.service_documents import ServiceDocument
from cassiadrum.schemas import Finding, check_table

__all__ = ["parse_document"]


def parse_document(
    text: str, file: str = "document", *, accepted: bool = False
) -> ServiceDocument:
    """Return the document in `text` after full validation.

    Raises DocumentError with one finding for each error; each finding names `file`. An `accepted`
    document is already in force: its consistency is not checked again, so that a release with
    stricter checks does not reject it.
    """
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise DocumentError([Finding(file, "(syntax)", str(exc), "TOML 1.0")]) from exc
    findings = _check_schema(raw, file)
    if not findings:
        document = _build(raw)
        findings = _check_constraints(document, file)
        if not accepted:
            findings += check_consistency(document, file)
    if findings:
        raise DocumentError(findings)
    return document


def _check_schema(raw: dict[str, Any], file: str) -> list[Finding]:
    findings = check_table(raw, DocumentTable, file, "")
    if findings:
        return findings
    findings += check_table(raw["service"], ServiceTable, file, "service")
    for index, table in enumerate(raw["class"]):
        findings += check_table(table, ClassTable, file, f"class[{index}]")
    return findings


def _build(raw: dict[str, Any]) -> ServiceDocument:
    service = {"models": [], **raw["service"]}
    return ServiceDocument(
        name=service["name"],
        kind=service["kind"],
        owner=service["owner"],
        zones=tuple(service["zones"]),
        endpoints=service["endpoints"],
        models=tuple(service["models"]),
        classes=tuple(_build_class(table) for table in raw["class"]),
    )


def _build_class(table: dict[str, Any]) -> RequestClass:
    values = {**DOCUMENT_DEFAULTS, **table}
    ordered = [values[field] for field in RequestClass._fields]
    return msgspec.convert(ordered, RequestClass)


def _check_constraints(document: ServiceDocument, file: str) -> list[Finding]:
    findings = []
    if not document.classes:
        findings.append(Finding(file, "class", "no class", "at least one class"))
    names = [cls.name for cls in document.classes]
    for index, cls in enumerate(document.classes):
        path = f"class[{index}]"
        if cls.name in names[:index]:
            findings.append(Finding(file, f"{path}.name", repr(cls.name), "a name used once"))
        if cls.idempotent and cls.once_only:
            allowed = "at most one of `idempotent` and `once_only`"
            findings.append(Finding(file, f"{path}.once_only", "true", allowed))
        if cls.hedge_budget > 0 and not cls.idempotent:
            allowed = "0 unless the class is idempotent"
            findings.append(Finding(file, f"{path}.hedge_budget", str(cls.hedge_budget), allowed))
        findings += _check_protected_tier(document, index, file)
    shares = sum(cls.min_share for cls in document.classes if not cls.protected)
    if shares > 1:
        findings.append(Finding(file, "class", f"min_share sum {shares:g}", "a sum of at most 1"))
    return findings


def _check_protected_tier(document: ServiceDocument, index: int, file: str) -> list[Finding]:
    cls = document.classes[index]
    others = [other.tier for other in document.classes if not other.protected]
    if cls.protected and others and cls.tier >= min(others):
        allowed = f"below {min(others)}: a protected class is above all that are not"
        return [Finding(file, f"class[{index}].tier", str(cls.tier), allowed)]
    return []
