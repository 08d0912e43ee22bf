"""Checks for values of a service document that contradict each other."""

from cassiadrum.documents.request_classes import RequestClass
from cassiadrum.documents.service_documents import ServiceDocument
from cassiadrum.schemas import Finding

__all__ = ["check_consistency"]


def check_consistency(document: ServiceDocument, file: str) -> list[Finding]:
    """Return a finding for each combination of values that cannot have its stated effect."""
    findings = []
    if len(set(document.zones)) < len(document.zones):
        findings.append(
            Finding(file, "service.zones", str(list(document.zones)), "each zone once")
        )
    if document.models and document.kind == "plain":
        found = str(list(document.models))
        findings.append(Finding(file, "service.models", found, "no models for a plain service"))
    for index, cls in enumerate(document.classes):
        path = f"class[{index}]"
        findings += _check_times(cls, document.kind, file, path)
        findings += _check_starvation(cls, file, path)
        findings += _check_hedges(cls, file, path)
        findings += _check_reachable(cls, document.classes[:index], file, path)
    return findings


def _check_times(cls: RequestClass, kind: str, file: str, path: str) -> list[Finding]:
    target = "target_first_token_s" if kind == "model" else "target_total_s"
    target_s: float = getattr(cls, target)
    findings = []
    if target_s > cls.deadline_s:
        allowed = f"at most deadline_s, which is {cls.deadline_s:g}"
        findings.append(Finding(file, f"{path}.{target}", f"{target_s:g}", allowed))
    # A class gets its minimum share only after max_wait_s, by which time its requests must not
    # have been refused for passing their deadline.
    if not cls.protected and cls.max_wait_s >= cls.deadline_s:
        allowed = f"below deadline_s, which is {cls.deadline_s:g}"
        findings.append(Finding(file, f"{path}.max_wait_s", f"{cls.max_wait_s:g}", allowed))
    return findings


def _check_starvation(cls: RequestClass, file: str, path: str) -> list[Finding]:
    if cls.protected or cls.min_share > 0:
        return []
    allowed = "above 0 unless the class is protected, as the class could starve"
    return [Finding(file, f"{path}.min_share", f"{cls.min_share:g}", allowed)]


def _check_hedges(cls: RequestClass, file: str, path: str) -> list[Finding]:
    if cls.cancellable or cls.hedge_budget == 0:
        return []
    allowed = "0 unless the class is cancellable, as the slower attempt has to be cancelled"
    return [Finding(file, f"{path}.hedge_budget", f"{cls.hedge_budget:g}", allowed)]


def _check_reachable(
    cls: RequestClass, earlier: tuple[RequestClass, ...], file: str, path: str
) -> list[Finding]:
    for other in earlier:
        if _covers(other, cls):
            found = f"{cls.path_prefix!r}, all of which the earlier class `{other.name}` matches"
            allowed = "a path prefix or method of its own, or a position before that class"
            return [Finding(file, f"{path}.path_prefix", found, allowed)]
    return []


def _covers(first: RequestClass, second: RequestClass) -> bool:
    """Return whether the first class matches every request that the second matches."""
    methods = not first.methods or (
        bool(second.methods) and set(second.methods) <= set(first.methods)
    )
    return methods and second.path_prefix.startswith(first.path_prefix)
