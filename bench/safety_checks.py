"""Check that protected work is not shed or preempted while lower-tier work holds resources."""

from bench.calls import Call
from bench.run_records import RunRecords
from cassiadrum.decisions import QueuedRequest

__all__ = ["SafetyCheck"]


class SafetyCheck:
    """Tracks the open calls of a run and counts sheds and preemptions that break `tier_safety`."""

    def __init__(self, records: RunRecords) -> None:
        self._records = records
        # Number of open calls by service and tier.
        self._open: dict[str, dict[int, int]] = {}

    def opened(self, call: Call) -> None:
        """Record that a call was submitted."""
        tiers = self._open.setdefault(call.req.service, {})
        tiers[call.req.tier] = tiers.get(call.req.tier, 0) + 1

    def closed(self, call: Call) -> None:
        """Record that a call ended."""
        self._open[call.req.service][call.req.tier] -= 1

    def refused(self, req: QueuedRequest, reason: str) -> None:
        """Check a final refusal."""
        if req.protected and reason != "cancelled" and self._has_lower_tier_open(req):
            self._records.unsafe[f"refused: {reason}"] += 1

    def paused(self, req: QueuedRequest, instance: str) -> None:
        """Check the pause of a running stream."""
        if req.protected and self._has_lower_tier_open(req):
            self._records.unsafe["paused"] += 1

    def rejected(self, req: QueuedRequest, instance: str) -> None:
        """Count a rejection of protected work by a sidecar.

        It is no violation, since the entry instance may dispatch the request again.
        """
        if req.protected:
            self._records.rejects["protected"] += 1

    def _has_lower_tier_open(self, req: QueuedRequest) -> bool:
        tiers = self._open.get(req.service, {})
        return any(count > 0 and tier > req.tier for tier, count in tiers.items())
