"""What a sidecar sends to an entry instance."""

from typing import Protocol

from cassiadrum.decisions import EndpointReport, Outcome

__all__ = ["LINK_LATENCY_S", "SidecarListener"]

# One-way latency between zones, from the workloads of the design page.
LINK_LATENCY_S = 0.0005


class SidecarListener(Protocol):
    """Receive a sidecar's messages; each call is made when the message arrives."""

    def started(self, instance: str, request_id: str) -> None:
        """Take the first token of a stream."""

    def progressed(self, instance: str, counts: list[tuple[str, int]]) -> None:
        """Take the tokens of several streams, each with its request id."""

    def ended(self, instance: str, request_id: str, outcome: Outcome) -> None:
        """Take the end of an attempt."""

    def reported(self, service: str, rep: EndpointReport) -> None:
        """Take a load report."""

    def cached(self, service: str, instance: str, keys: list[int]) -> None:
        """Take cache events."""
