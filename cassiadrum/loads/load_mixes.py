"""Load mixes: arrival rates by class, read from a TOML file."""

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from cassiadrum.documents import DocumentError, ServiceDocument, parse_document
from cassiadrum.loads.errors import MixError
from cassiadrum.loads.mix_schemas import BurstTable, ClassRateTable, LoadTable, MixTable
from cassiadrum.schemas import Finding, check_table

__all__ = ["Burst", "ClassRate", "LoadMix", "load_mix"]

DEFAULTS = {"customers": 10, "large_customers": 3, "large_share": 0.75, "streamed_share": 0.8}


class ClassRate(NamedTuple):
    """Mean arrivals per second of a class outside bursts."""

    service: str
    name: str
    rate_per_s: float


class Burst(NamedTuple):
    """A period, in seconds from the start, in which a class arrives `factor` times as often."""

    service: str
    name: str
    start_s: float
    duration_s: float
    factor: float


class LoadMix(NamedTuple):
    """A load by class and customer.

    `large_customers` of the `customers` send the share `large_share` of the requests.
    `streamed_share` is the share of model requests that ask for a streamed answer.
    """

    documents: tuple[ServiceDocument, ...]
    texts: tuple[str, ...]
    duration_s: float
    customers: int
    large_customers: int
    large_share: float
    streamed_share: float
    rates: tuple[ClassRate, ...]
    bursts: tuple[Burst, ...]


def load_mix(path: Path) -> LoadMix:
    """Return the mix in a file, with the service documents that it names.

    Raises MixError with one finding for each error, including those of the documents.
    """
    raw = _parse_toml(path)
    findings = _check_schema(raw, str(path))
    if findings:
        raise MixError(findings)
    texts, documents = _read_documents(path, raw["load"]["documents"])
    load = {**DEFAULTS, **raw["load"]}
    mix = LoadMix(
        tuple(documents),
        tuple(texts),
        float(load["duration_s"]),
        load["customers"],
        load["large_customers"],
        float(load["large_share"]),
        float(load["streamed_share"]),
        tuple(ClassRate(**table) for table in raw["class"]),
        tuple(Burst(**table) for table in raw.get("burst", [])),
    )
    findings = _check_consistency(mix, str(path))
    if findings:
        raise MixError(findings)
    return mix


def _parse_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise MixError([Finding(str(path), "(file)", str(exc), "a readable file")]) from exc
    except tomllib.TOMLDecodeError as exc:
        raise MixError([Finding(str(path), "(syntax)", str(exc), "TOML 1.0")]) from exc


def _check_schema(raw: dict[str, Any], file: str) -> list[Finding]:
    findings = check_table(raw, MixTable, file, "")
    if findings:
        return findings
    findings += check_table(raw["load"], LoadTable, file, "load")
    for name, schema in (("class", ClassRateTable), ("burst", BurstTable)):
        for index, table in enumerate(raw.get(name, [])):
            findings += check_table(table, schema, file, f"{name}[{index}]")
    return findings


def _read_documents(path: Path, names: list[str]) -> tuple[list[str], list[ServiceDocument]]:
    texts, documents, findings = [], [], []
    for index, name in enumerate(names):
        try:
            texts.append((path.parent / name).read_text())
            documents.append(parse_document(texts[-1], str(path.parent / name)))
        except (OSError, UnicodeDecodeError) as exc:
            allowed = "the path of a service document, relative to this file"
            findings.append(Finding(str(path), f"load.documents[{index}]", str(exc), allowed))
        except DocumentError as exc:
            findings += exc.findings
    if findings:
        raise MixError(findings)
    return texts, documents


def _check_consistency(mix: LoadMix, file: str) -> list[Finding]:
    known = {(doc.name, cls.name) for doc in mix.documents for cls in doc.classes}
    findings: list[Finding] = []
    if not mix.rates:
        findings.append(Finding(file, "class", "no class", "at least one class"))
    if mix.large_customers > mix.customers:
        allowed = f"at most `customers`, which is {mix.customers}"
        findings.append(Finding(file, "load.large_customers", str(mix.large_customers), allowed))
    tables: list[tuple[str, ClassRate | Burst]] = [
        *((f"class[{index}]", rate) for index, rate in enumerate(mix.rates)),
        *((f"burst[{index}]", burst) for index, burst in enumerate(mix.bursts)),
    ]
    named = ", ".join(sorted(f"{service}/{name}" for service, name in known))
    for path, table in tables:
        if (table.service, table.name) not in known:
            found = f"{table.service}/{table.name}"
            findings.append(Finding(file, f"{path}.name", found, f"one of {named}"))
    return findings
