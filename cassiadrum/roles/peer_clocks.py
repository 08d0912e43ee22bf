"""The hybrid clocks of peers, as messages carry them."""

from cassiadrum.events import EventRing, HybridTime

__all__ = ["observe_peer_clock"]


def observe_peer_clock(ring: EventRing, clock: list[int]) -> None:
    """Move the ring's clock past a peer's time; a list of another shape is ignored."""
    if len(clock) == len(HybridTime._fields):
        ring.clock.observe(HybridTime(*clock))
