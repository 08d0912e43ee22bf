"""Tests of single requests that are sent although a content of theirs is blamed."""

import random

import pytest

from cassiadrum.crash_evidence import (
    Content,
    ContentKind,
    Contents,
    ContentTrials,
    CrashBoard,
    Exposure,
    part_contents,
    request_content,
)
from cassiadrum.crash_evidence.crash_causes import TRIAL_DELAY_S

PART = Content(ContentKind.PART, "new")


class Site:
    """Instances that know the same crashes and differ in their rank."""

    def __init__(self, size: int = 1) -> None:
        self.now_s = 1000.0
        self.board = CrashBoard(lambda: self.now_s, random.Random(1))
        self.trials = [self._make(rank) for rank in range(size)]

    def _make(self, rank: int) -> ContentTrials:
        return ContentTrials(self.board, lambda key: rank, lambda: self.now_s)

    def crash(self, number: int, held_s: float = 0.4) -> None:
        """Record a crash under a request with the part."""
        self.now_s += 1.0
        contents = make_request(number)
        exposures = {request_content(b"%d" % number): Exposure(held_s)}
        self.board.record_crash(f"e-{self.now_s}", contents, exposures, 3)


def make_request(number: int) -> Contents:
    return {**part_contents(["new"]), request_content(b"%d" % number): 1}


@pytest.fixture
def site() -> Site:
    site = Site(3)
    for number in range(3):
        site.crash(number)
    assert set(site.board.harmful) == {PART}
    assert site.board.harmful[PART].trial_delay_s == TRIAL_DELAY_S
    return site


class TestContentTrials:
    """Guards against sound callers who are refused for an hour, and against too many trials."""

    def test_one_request_passes_after_the_delay(self, site: Site) -> None:
        assert site.trials[0].try_admit(make_request(9)) is None
        site.now_s += TRIAL_DELAY_S
        assert site.trials[0].try_admit(make_request(9)) == PART
        assert site.trials[0].try_admit(make_request(10)) is None

    def test_instances_take_turns(self, site: Site) -> None:
        site.now_s += TRIAL_DELAY_S
        assert site.trials[1].try_admit(make_request(9)) is None
        site.now_s += TRIAL_DELAY_S
        assert site.trials[1].try_admit(make_request(9)) == PART
        assert site.trials[2].try_admit(make_request(9)) is None

    def test_request_under_which_an_endpoint_ended_tells_nothing_of_the_part(
        self, site: Site
    ) -> None:
        site.now_s += TRIAL_DELAY_S
        assert site.trials[0].try_admit(make_request(1)) is None
        assert site.trials[0].try_admit(make_request(9)) == PART

    def test_whole_answer_clears_the_part_at_once(self, site: Site) -> None:
        site.now_s += TRIAL_DELAY_S
        contents = make_request(9)
        tried = site.trials[0].try_admit(contents)
        assert site.board.find_harmful(contents, tried) is None
        site.board.record_answered(contents)
        assert not site.board.harmful

    def test_crashes_of_trials_end_the_doubt(self, site: Site) -> None:
        trials = 0
        for number in range(10, 30):
            site.now_s += 200.0
            if site.trials[0].try_admit(make_request(number)) is not None:
                trials += 1
                site.crash(number)
        assert trials == 3
        assert site.board.retry_after_s(site.board.harmful[PART]) > 60.0

    def test_caller_is_told_to_return_when_the_part_is_tried(self, site: Site) -> None:
        evidence = site.board.harmful[PART]
        assert site.board.retry_after_s(evidence) == TRIAL_DELAY_S
        site.now_s += 2 * TRIAL_DELAY_S
        assert site.board.retry_after_s(evidence) == 1.0

    def test_request_with_a_second_blamed_content_does_not_pass(self, site: Site) -> None:
        site.now_s += TRIAL_DELAY_S
        deadly = request_content(b"deadly")
        for number in range(3):
            site.now_s += 1.0
            site.board.record_crash(f"d-{number}", {deadly: 0}, {deadly: Exposure(0.01)}, 9)
        assert deadly in site.board.harmful
        site.now_s += TRIAL_DELAY_S
        assert site.trials[0].try_admit({**part_contents(["new"]), deadly: 1}) is None
