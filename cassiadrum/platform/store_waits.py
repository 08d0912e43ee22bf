"""How long calls to the store may wait, and how long their answers hold."""

from typing import NamedTuple

from cassiadrum.platform.node_settings import Bounds

__all__ = ["StoreWaits"]

# Part of `revoke_s` up to which a configuration counts as confirmed; the rest covers the way of a
# request to its endpoint.
CONFIRMED_FRACTION = 0.95
# Longest wait for changes, as a part of the time for which a configuration stays confirmed. An
# outage of the store that begins at the end of such a wait is bridged for what is left.
CONFIRMED_WAIT_FRACTION = 1 / 3
# The same, as a part of the time after which a machine that lost its connections silently has to
# act on changes again.
CONTACT_WAIT_FRACTION = 0.6
# The same, as a part of the time after which a leaving endpoint gets no new request: changes of
# the endpoints are read at the end of a wait.
DRAIN_WAIT_FRACTION = 0.6


class StoreWaits(NamedTuple):
    """Hold seconds: the age up to which a configuration is confirmed, and the longest wait."""

    confirmed_s: float
    change_s: float

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "StoreWaits":
        """Return the times for the bounds of a deployment."""
        confirmed_s = bounds.revoke_s * CONFIRMED_FRACTION
        change_s = min(
            confirmed_s * CONFIRMED_WAIT_FRACTION,
            bounds.contact_s * CONTACT_WAIT_FRACTION,
            bounds.drain_s * DRAIN_WAIT_FRACTION,
        )
        return cls(confirmed_s, change_s)
