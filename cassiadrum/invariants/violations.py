"""Violation of an invariant."""

from typing import NamedTuple

__all__ = ["Violation"]


class Violation(NamedTuple):
    """Violated rule, with a description and the request and instance concerned.

    `at_s` is in seconds since the epoch, or 0 if no single event shows the violation.
    """

    rule: str
    detail: str
    request_id: str = ""
    instance: str = ""
    at_s: float = 0.0

    def __str__(self) -> str:
        where = " ".join(part for part in (self.request_id, self.instance) if part)
        return f"{self.rule}: {self.detail}" + (f" ({where})" if where else "")
