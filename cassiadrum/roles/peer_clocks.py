"""Synchronization with the hybrid logical clocks of peers."""

from cassiadrum.events import EventRing, HybridTimestamp

__all__ = ["observe_peer_clock"]


def observe_peer_clock(ring: EventRing, clock: list[int]) -> None:
    """Advance the ring's clock past a peer's time; a list of the wrong length is ignored."""
    if len(clock) == len(HybridTimestamp._fields):
        ring.clock.observe(HybridTimestamp(*clock))
