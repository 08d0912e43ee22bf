"""Messages from a simulated sidecar to an entry instance."""

from typing import Protocol

from cassiadrum.decisions import EndpointReport, Outcome

__all__ = ["LINK_LATENCY_S", "SidecarListener"]

# One-way latency between zones of the workloads in docs/design.md.
LINK_LATENCY_S = 0.0005


class SidecarListener(Protocol):
    """Receiver of a sidecar's messages; each method is called when the message arrives."""

    def started(self, instance: str, request_id: str) -> None:
        """Handle the first token of a stream."""

    def progressed(self, instance: str, counts: list[tuple[str, int]]) -> None:
        """Handle the token counts of several streams, each with its request id."""

    def ended(self, instance: str, request_id: str, outcome: Outcome) -> None:
        """Handle the end of an attempt."""

    def load_reported(self, service: str, rep: EndpointReport) -> None:
        """Handle a load report."""

    def prefixes_cached(self, service: str, instance: str, keys: list[int]) -> None:
        """Handle the keys of newly cached prompt blocks."""
