"""Moments at which endpoints ended, as independent pieces of evidence against a content."""

from collections.abc import Iterable, Sequence
from typing import Final

from cassiadrum.crash_evidence.answered_contents import CLOCK_TOLERANCE_S
from cassiadrum.crash_evidence.contents import Content, ContentKind
from cassiadrum.crash_evidence.endpoint_crashes import EndpointCrash

__all__ = ["MOMENT_S", "count_moments", "group_moments"]

# Endpoints that end within this time of each other may have a common cause, such as a failed zone,
# and count once. It covers the delay of gateways and the difference of their clocks.
MOMENT_S: Final = 0.25
# The same for a whole request, which is rarely at several endpoints at once.
REQUEST_MOMENT_S: Final = 0.03


def group_moments(content: Content, crashes: Iterable[EndpointCrash]) -> list[list[EndpointCrash]]:
    """Return the crashes under a content by their moments; they are ordered by time.

    A crash is a moment of its own, however soon it follows, if the request was sent to the
    endpoint after an earlier crash under it was known, or had happened: a cause that the endpoints
    have in common does not explain which endpoint was chosen next.
    """
    moments: list[list[EndpointCrash]] = []
    for crash in crashes:
        if not moments or _is_new(content, crash, moments[-1]):
            moments.append([crash])
        else:
            moments[-1].append(crash)
    return moments


def _is_new(content: Content, crash: EndpointCrash, moment: Sequence[EndpointCrash]) -> bool:
    moment_s = REQUEST_MOMENT_S if content.kind is ContentKind.REQUEST else MOMENT_S
    if crash.at_s > moment[0].at_s + moment_s:
        return True
    exposure = crash.exposures.get(content)
    if exposure is None:
        return False
    if exposure.held_s is None:
        return exposure.resent
    sent_s = crash.at_s - exposure.held_s
    return exposure.resent or sent_s > moment[-1].at_s + CLOCK_TOLERANCE_S


def count_moments(content: Content, crashes: Iterable[EndpointCrash]) -> int:
    """Return the number of moments of the crashes under a content, ordered by time."""
    return len(group_moments(content, crashes))
