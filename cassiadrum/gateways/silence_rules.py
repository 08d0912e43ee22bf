"""Limits on the silence of an endpoint, by the kind of request and the part of its answer."""

from cassiadrum.gateways.catalogs import CallKind, Route

__all__ = ["body_limit_s", "event_limit_s", "first_bytes_limit_s", "max_wait_s"]

# Limits before the first bytes of a stream and between its events: a fraction of the latency
# target, and a multiple of the allowed gap, and the least value of each. A load probe of up to
# 0.5 s follows. Between events both together exceed the pause of a sound endpoint, and leave time
# to resume the stream before callers give it up after 2 s.
FIRST_BYTES_TARGET_FRACTION = 0.5
MIN_FIRST_BYTES_SILENCE_S = 0.6
GAP_MULTIPLE = 6.0
MIN_EVENT_SILENCE_S = 0.95
# Multiple of the expected wait that is added to the limit before the first bytes.
EXPECTED_WAIT_MULTIPLE = 2.0
# A sound endpoint may send nothing for a second or so and then go on. A plain answer that has
# begun is late by then, and running it again costs more than it saves.
SOUND_PAUSE_S = 1.5
# Fraction of the time that a request has, after which a wait without progress ends; the rest
# suffices for a retry.
WAIT_FRACTION = 0.4


def first_bytes_limit_s(route: Route, expected_wait_s: float) -> float | None:
    """Return the silence limit before the first bytes in seconds, None for no limit."""
    if not route.repeatable:
        return None
    if route.kind is CallKind.STREAM:
        limit_s = max(MIN_FIRST_BYTES_SILENCE_S, FIRST_BYTES_TARGET_FRACTION * route.target_s)
        return limit_s + EXPECTED_WAIT_MULTIPLE * expected_wait_s
    return route.target_s


def body_limit_s(route: Route, timeout_s: float) -> float | None:
    """Return the silence limit inside a plain answer in seconds, None for no limit.

    `timeout_s` is the time that the caller waits for the whole answer.
    """
    if not route.repeatable:
        return None
    return max(route.target_s, min(SOUND_PAUSE_S, WAIT_FRACTION * timeout_s))


def event_limit_s(route: Route) -> float | None:
    """Return the silence limit between events in seconds, None for no limit."""
    if not route.resumable:
        return None
    return max(MIN_EVENT_SILENCE_S, GAP_MULTIPLE * route.gap_s)


def max_wait_s(route: Route, silence_s: float | None) -> float:
    """Return the longest wait without progress at an endpoint that is busy with other requests."""
    return max(silence_s or 0.0, WAIT_FRACTION * route.timeout_s)
