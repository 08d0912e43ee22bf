"""Wait times of calls to the store, and how long its answers count as current."""

from typing import NamedTuple

from cassiadrum.platform.node_settings import Bounds

__all__ = ["StoreWaits"]

# Fraction of `revoke_s` for which a configuration counts as confirmed; the rest covers the time
# that a request takes to reach its endpoint.
CONFIRMED_FRACTION = 0.95
# Longest wait for changes, as a fraction of the time for which a configuration stays confirmed.
# If a store outage begins at the end of such a wait, the remaining time bridges it.
CONFIRMED_WAIT_FRACTION = 1 / 3
# The same, as a fraction of `contact_s`, the time within which a machine whose connections were
# lost silently must act on changes again.
CONTACT_WAIT_FRACTION = 0.6
# The same, as a fraction of `drain_s`, after which a leaving endpoint must get no new request:
# changes of endpoints are read at the end of a wait.
DRAIN_WAIT_FRACTION = 0.6
# Waits for changes within which a list of gateways is read again, and the time for the answers;
# one wait may be lost.
FLEET_WAITS = 3
FLEET_ANSWERS_S = 1.0


class StoreWaits(NamedTuple):
    """Time limits of what the store's answers tell, in seconds.

    A configuration stays confirmed for `confirmed_s`, a call for changes waits up to `change_s`,
    and a list of gateways is outdated after `fleet_s`.
    """

    confirmed_s: float
    change_s: float
    fleet_s: float

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "StoreWaits":
        """Return the wait times that keep the bounds of a deployment."""
        confirmed_s = bounds.revoke_s * CONFIRMED_FRACTION
        change_s = min(
            confirmed_s * CONFIRMED_WAIT_FRACTION,
            bounds.contact_s * CONTACT_WAIT_FRACTION,
            bounds.drain_s * DRAIN_WAIT_FRACTION,
        )
        return cls(confirmed_s, change_s, FLEET_WAITS * change_s + FLEET_ANSWERS_S)
