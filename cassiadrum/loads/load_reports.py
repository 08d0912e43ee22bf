"""Report of one run of the load tool."""

import json
from typing import Any, NamedTuple

from cassiadrum.invariants import Violation
from cassiadrum.loads.load_senders import LoadSender

__all__ = ["LoadReport"]


class LoadReport(NamedTuple):
    """Results by service and class, with figures from the events and metrics of the processes.

    `tokens_wasted`, `missing_events` and `violations` are None when the events were not read.
    `checked` names the input of the invariant checks: `events`, or `events and runs` of the
    endpoints.
    """

    seed: int
    duration_s: float
    services: dict[str, dict[str, dict[str, Any]]]
    tokens_delivered: int
    tokens_wasted: int | None = None
    missing_events: int | None = None
    violations: list[Violation] | None = None
    checked: str = "nothing"

    @classmethod
    def from_sender(cls, sender: LoadSender, seed: int, duration_s: float) -> "LoadReport":
        """Return a report with the results that callers saw."""
        services: dict[str, dict[str, dict[str, Any]]] = {}
        for (service, class_name), result in sender.results.items():
            services.setdefault(service, {})[class_name] = result.as_dict()
        delivered = sum(result.tokens for result in sender.results.values())
        return cls(seed, duration_s, services, delivered)

    def as_dict(self) -> dict[str, Any]:
        """Return the report as values that JSON can represent."""
        found = self.violations
        violations = None if found is None else [violation._asdict() for violation in found]
        return {**self._asdict(), "violations": violations}

    def as_json(self) -> str:
        """Return the report as one JSON object."""
        return json.dumps(self.as_dict())

    def as_text(self) -> str:
        """Return a table by class, with latencies in milliseconds, and a summary."""
        lines = [
            f"{'service':<16}{'class':<18}{'sent':>6}{'answered':>10}{'attained':>10}"
            f"{'p50 ms':>9}{'p99 ms':>9}{'tokens':>9}"
        ]
        for service, classes in self.services.items():
            lines += [_text_row(service, name, row) for name, row in classes.items()]
        lines.append(f"delivered tokens: {self.tokens_delivered}")
        if self.tokens_wasted is not None:
            lines.append(f"wasted tokens: {self.tokens_wasted}")
        if self.violations is None:
            lines.append("invariants: not checked, because the events were not read")
        else:
            missing = f", {self.missing_events} events missing" if self.missing_events else ""
            lines.append(
                f"invariant violations: {len(self.violations)} (from {self.checked}{missing})"
            )
            lines += [f"  {violation.rule}: {violation.detail}" for violation in self.violations]
        return "\n".join(lines)


def _text_row(service: str, name: str, row: dict[str, Any]) -> str:
    share = "-" if row["attainment"] is None else f"{row['attainment']:.1%}"
    latency = row["latency_s"]
    times = [f"{latency[key] * 1e3:>9.1f}" if latency else f"{'-':>9}" for key in ("p50", "p99")]
    refused = ", ".join(f"{why} {count}" for why, count in sorted(row["refusals"].items()))
    counts = f"{row['sent']:>6}{row['answered']:>10}{share:>10}"
    line = f"{service:<16}{name:<18}{counts}{times[0]}{times[1]}{row['goodput_tokens']:>9}"
    return f"{line}  {refused}".rstrip()
