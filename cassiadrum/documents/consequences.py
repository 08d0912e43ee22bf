"""Descriptions of the consequences of a service document, as text."""

from collections.abc import Iterator
from typing import Final

from cassiadrum.defaults import LIMITS
from cassiadrum.documents.class_consequences import ClassConsequences
from cassiadrum.documents.request_classes import RequestClass
from cassiadrum.documents.service_documents import ServiceDocument

__all__ = ["changed_consequences", "class_consequences", "consequence_lines"]

DAY_S: Final = 24 * 3600.0
FIELDS_WITHOUT_TEXT: Final = ("name", "place")


def class_consequences(document: ServiceDocument) -> list[ClassConsequences]:
    """Return the consequences for each class, in the order in which the classes are served."""
    ordered = sorted(document.classes, key=lambda cls: (not cls.protected, cls.tier))
    return [_consequences(document, cls, place) for place, cls in enumerate(ordered, 1)]


def consequence_lines(document: ServiceDocument) -> list[str]:
    """Return the consequences of a document as lines of text."""
    lines = [_summary(document)]
    for part in class_consequences(document):
        lines.append(f"{part.place}. {part.name}")
        lines += [f"   {key}: {text}" for key, text in _labelled_texts(part)]
    return lines


def changed_consequences(old: ServiceDocument | None, new: ServiceDocument | None) -> list[str]:
    """Return the changed consequences as removed (`-`) and added (`+`) lines.

    None stands for a deleted service.
    """
    if old is None or new is None:
        present = old or new
        if present is None:
            return []
        sign = "-" if new is None else "+"
        return [f"{sign} {line}" for line in consequence_lines(present)]
    lines = []
    if _summary(old) != _summary(new):
        lines += [f"- {_summary(old)}", f"+ {_summary(new)}"]
    before = {part.name: part for part in class_consequences(old)}
    after = {part.name: part for part in class_consequences(new)}
    for name in [*before, *(name for name in after if name not in before)]:
        lines += _changed_class(name, before.get(name), after.get(name))
    return lines


def _changed_class(
    name: str, old: ClassConsequences | None, new: ClassConsequences | None
) -> list[str]:
    if new is None:
        return [f"- {name}: the class is removed"]
    if old is None:
        return [f"+ {name}: {key}: {text}" for key, text in _labelled_texts(new)]
    lines = []
    if old.place != new.place:
        lines += [
            f"- {name}: served in position {old.place}",
            f"+ {name}: served in position {new.place}",
        ]
    for (key, before), (_, after) in zip(_labelled_texts(old), _labelled_texts(new), strict=True):
        if before != after:
            lines += [f"- {name}: {key}: {before}", f"+ {name}: {key}: {after}"]
    return lines


def _labelled_texts(part: ClassConsequences) -> Iterator[tuple[str, str]]:
    for key, text in part._asdict().items():
        if key not in FIELDS_WITHOUT_TEXT:
            yield key.replace("_", " "), text


def _summary(document: ServiceDocument) -> str:
    kind = "model engines" if document.kind == "model" else "plain endpoints"
    models = f", models {', '.join(document.models)}" if document.models else ""
    zones = ", ".join(document.zones)
    return (
        f"service {document.name} of {document.owner}: {document.endpoints} {kind} in "
        f"{zones}{models}"
    )


def _consequences(document: ServiceDocument, cls: RequestClass, place: int) -> ClassConsequences:
    return ClassConsequences(
        cls.name,
        place,
        requests=_requests(cls),
        order=_order(cls),
        overload=_overload(cls),
        waiting=_waiting(cls),
        repeats=_repeats(cls),
        hedges=_hedges(cls),
        caller_leaves="the call is cancelled" if cls.cancellable else "the call is completed",
        target=_target(document.kind, cls),
    )


def _requests(cls: RequestClass) -> str:
    methods = ", ".join(cls.methods) or "every method"
    return f"{methods} on {cls.path_prefix}..., unless an earlier class of the document matches"


def _order(cls: RequestClass) -> str:
    if cls.protected:
        return f"tier {cls.tier}, protected: served before every class that is not protected"
    return f"tier {cls.tier}: served after protected classes and lower-numbered tiers"


def _overload(cls: RequestClass) -> str:
    if cls.protected:
        return "never shed or preempted for lower tiers; refused only if no lower tier is queued"
    return (
        f"once its oldest request has waited {cls.max_wait_s:g} s, it gets {cls.min_share:.0%} of "
        "the capacity left by protected classes; when the queue is full, the newest request of "
        "the lowest tier is shed"
    )


def _waiting(cls: RequestClass) -> str:
    refusal = f"refused at once if the predicted wait exceeds {cls.deadline_s:g} s"
    if cls.protected:
        return f"only behind requests of protected classes; {refusal}"
    if cls.min_share == 0:
        return f"without bound, as min_share is 0; {refusal}"
    return (
        f"at most {cls.max_wait_s:g} s plus {1 / cls.min_share:.3g} times the time to process "
        f"its own backlog with the capacity left by protected classes; {refusal}"
    )


def _repeats(cls: RequestClass) -> str:
    if cls.once_only:
        days = LIMITS.CLAIM_RETENTION_S / DAY_S
        return (
            "runs at most once for each Idempotency-Key, which is required; a repeated key gets "
            f"the stored answer for {days:g} days; refused while the table service is unavailable"
        )
    if cls.idempotent:
        return (
            "may be retried on another endpoint after a failure, for at most "
            f"{cls.retry_budget:.0%} of the class's requests"
        )
    return "dispatched once; retried only if it certainly did not run"


def _hedges(cls: RequestClass) -> str:
    if cls.hedge_budget == 0:
        return "never hedged"
    return (
        "a slow first token may start a hedged attempt on a second endpoint, while at most "
        f"{cls.hedge_budget:.3g} of all tokens are wasted"
    )


def _target(kind: str, cls: RequestClass) -> str:
    if kind == "plain":
        return f"complete answer within {cls.target_total_s:g} s"
    first_s, inter_ms = cls.target_first_token_s, cls.target_inter_token_s * 1000
    return f"first token within {first_s:g} s, {inter_ms:g} ms between tokens"
