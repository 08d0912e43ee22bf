"""Tests of the times at which refused callers may return."""

import pytest

from cassiadrum.gateways.return_schedules import ReturnSchedule

URGENT, OTHER = 0, 3


class TestReturnSchedule:
    """Guards against callers that return together, or after less urgent ones."""

    def test_callers_return_one_after_the_other(self) -> None:
        schedule = ReturnSchedule()
        waits = [schedule.reserve(OTHER, 10.0, 0.5, 2.0, 5.0) for _ in range(3)]
        assert waits == pytest.approx([0.5, 1.0, 1.5])

    def test_urgent_caller_takes_the_time_of_others(self) -> None:
        schedule = ReturnSchedule()
        for _ in range(3):
            schedule.reserve(OTHER, 10.0, 0.5, 2.0, 5.0)
        assert schedule.reserve(URGENT, 10.0, 0.5, 2.0, 5.0) == pytest.approx(0.5)

    def test_caller_that_will_not_return_takes_no_time(self) -> None:
        schedule = ReturnSchedule()
        waits = [schedule.reserve(OTHER, 10.0, 0.5, 2.0, 0.9) for _ in range(4)]
        assert waits == pytest.approx([0.5, 1.0, 1.0, 1.0])

    def test_past_times_are_forgotten(self) -> None:
        schedule = ReturnSchedule()
        schedule.reserve(OTHER, 10.0, 0.5, 2.0, 5.0)
        assert schedule.reserve(OTHER, 60.0, 0.2, 2.0, 5.0) == pytest.approx(0.2)
