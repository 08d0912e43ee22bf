"""Tests of the limits on the silence of an endpoint."""

import pytest

from cassiadrum.gateways.catalogs import CallKind
from cassiadrum.gateways.load_probers import PROBE_TIMEOUT_S
from cassiadrum.gateways.silence_rules import (
    body_limit_s,
    event_limit_s,
    first_bytes_limit_s,
    max_wait_s,
)
from cassiadrum.tests.gateways.makers import make_route

IDEMPOTENT = make_route(kind=CallKind.IDEMPOTENT, resumable=False, target_s=0.25, timeout_s=5.0)
# The longest pause of a sound endpoint.
SOUND_PAUSE_S = 1.4
# The shortest gap between events after which a caller gives up a stream.
CALLER_PATIENCE_S = 2.0


class TestSilenceRules:
    """Guards against leaving a sound endpoint that pauses, and a crashed one too late."""

    def test_call_that_has_not_begun_is_left_at_its_target(self) -> None:
        assert first_bytes_limit_s(IDEMPOTENT, 0.0) == IDEMPOTENT.target_s

    def test_plain_answer_that_has_begun_may_pause(self) -> None:
        limit_s = body_limit_s(IDEMPOTENT, IDEMPOTENT.timeout_s)
        assert limit_s is not None
        assert SOUND_PAUSE_S < limit_s < IDEMPOTENT.timeout_s / 2

    @pytest.mark.parametrize("timeout_s", [0.5, 1.0, 3.0])
    def test_silent_plain_answer_leaves_time_for_a_retry(self, timeout_s: float) -> None:
        limit_s = body_limit_s(IDEMPOTENT, timeout_s)
        assert limit_s is not None
        assert limit_s <= timeout_s / 2

    def test_silent_answer_is_not_left_before_its_target(self) -> None:
        assert body_limit_s(IDEMPOTENT._replace(target_s=4.0), 5.0) == 4.0

    def test_stream_of_a_sound_endpoint_may_pause(self) -> None:
        limit_s = event_limit_s(make_route(gap_s=0.05))
        assert limit_s is not None
        left_after_s = limit_s + PROBE_TIMEOUT_S
        assert SOUND_PAUSE_S < left_after_s < CALLER_PATIENCE_S - 0.5

    def test_request_that_may_not_be_repeated_has_no_limit(self) -> None:
        once = make_route(kind=CallKind.ONCE, resumable=False)
        stream = make_route(resumable=False)
        assert first_bytes_limit_s(once, 0.0) is None
        assert body_limit_s(once, 5.0) is None
        assert first_bytes_limit_s(stream, 0.0) is None
        assert event_limit_s(stream) is None

    def test_stream_behind_others_waits_longer_for_its_first_bytes(self) -> None:
        alone, queued = (first_bytes_limit_s(make_route(), wait_s) for wait_s in (0.0, 0.5))
        assert alone is not None
        assert queued is not None
        assert queued > alone

    def test_wait_for_a_busy_endpoint_is_no_shorter_than_for_a_silent_one(self) -> None:
        assert max_wait_s(IDEMPOTENT, 4.0) == 4.0
        assert max_wait_s(IDEMPOTENT, 0.25) == pytest.approx(2.0)
