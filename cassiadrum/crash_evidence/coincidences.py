"""How likely it is that endpoints ended by chance while a request was there."""

from collections.abc import Collection, Sequence
from math import log
from statistics import median
from typing import Final

from cassiadrum.crash_evidence.contents import Content, ContentKind
from cassiadrum.crash_evidence.crash_moments import group_moments
from cassiadrum.crash_evidence.endpoint_crashes import EndpointCrash

__all__ = ["coincidence_strength"]

# Time in seconds before and after a crash within which other ends tell how often endpoints end.
NEAR_S: Final = 5.0
# Ends assumed within this time where none was seen, so that no coincidence is impossible.
ASSUMED_ENDS: Final = 1
# Shortest time in seconds for which a request counts as held: one that is lost by chance was there
# for a part of its time only.
MIN_HELD_S: Final = 0.05
# Largest strength of a crash that another content explains, beside which a sound request may have
# been by chance.
EXPLAINED_STRENGTH: Final = 2.5


def coincidence_strength(
    content: Content, crashes: Sequence[EndpointCrash], ends: Collection[EndpointCrash]
) -> float:
    """Return how strongly the crashes under a content tell that it caused them.

    The value is the negative logarithm of the probability that a sound request was at all these
    endpoints by chance: its time at each of them, or the usual one if that is longer, times the
    rate at which single endpoints of the service ended around that time for another reason.
    `ends` are all ends of endpoints that no other content explains; `crashes` are those that count
    against this one, ordered by time. A crash that another content explains tells little, and one
    without a known exposure nothing. Crashes of one moment count once.
    """
    held = [_held_s(content, crash) for crash in crashes]
    known_s = [held_s for held_s in held if held_s is not None]
    if not known_s:
        return 0.0
    usual_s = max(MIN_HELD_S, median(known_s))
    own = {crash.endpoint for crash in crashes}
    unexplained = {end.endpoint for end in ends}
    other_times_s = [end.at_s for end in ends if end.endpoint not in own]

    def strength(crash: EndpointCrash) -> float:
        held_s = _held_s(content, crash)
        if held_s is None:
            return 0.0
        found = _strength(crash, max(held_s, usual_s), other_times_s)
        return found if crash.endpoint in unexplained else min(found, EXPLAINED_STRENGTH)

    return sum(max(map(strength, moment)) for moment in group_moments(content, crashes))


def _held_s(content: Content, crash: EndpointCrash) -> float | None:
    """Return the longest time of a request with a content at an endpoint, None if not known.

    That of a part or a customer is taken to be the longest of all whole requests.
    """
    if content.kind is ContentKind.REQUEST:
        exposure = crash.exposures.get(content)
        return None if exposure is None else exposure.held_s
    known = (exposure.held_s for exposure in crash.exposures.values())
    return max((held_s for held_s in known if held_s is not None), default=None)


def _strength(crash: EndpointCrash, held_s: float, other_times_s: Sequence[float]) -> float:
    others = sum(abs(at_s - crash.at_s) <= NEAR_S for at_s in other_times_s)
    rate_per_s = (ASSUMED_ENDS + others) / (crash.peers * 2 * NEAR_S)
    return max(0.0, -log(held_s * rate_per_s))
