"""Tests of the search for the contents of requests that end endpoints."""

import random
from collections.abc import Mapping, Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.crash_evidence import (
    AnsweredContent,
    Content,
    ContentKind,
    EndpointCrash,
    Exposure,
    customer_content,
    find_causes,
    part_contents,
    request_content,
)
from cassiadrum.crash_evidence.answered_contents import CLOCK_TOLERANCE_S

MAX_CRASHES = 5


def part(name: str) -> Content:
    return Content(ContentKind.PART, name)


def crash(number: int, at_s: float, *prompts: Sequence[str]) -> EndpointCrash:
    contents = {}
    for parts in prompts:
        contents.update(part_contents(parts))
    return EndpointCrash(f"e-{number}", at_s, contents)


def answered(**whole_s: float | None) -> Mapping[Content, AnsweredContent]:
    return {part(name): AnsweredContent(part(name), at_s) for name, at_s in whole_s.items()}


class TestContents:
    """Guards against a part that has a second name, or a name as long as a caller likes."""

    def test_one_name_for_all_ways_to_write_a_number(self) -> None:
        assert part_contents(["00AbC"]) == part_contents(["abc"])
        assert part_contents(["xyz", "abc"]) == {part("xyz"): 0, part("abc"): 1}

    def test_long_names_are_bounded_and_differ(self) -> None:
        first, second = part_contents(["f" * 9000 + "1", "f" * 9000 + "2"])
        assert first != second
        assert max(len(str(first)), len(str(second))) < 64

    def test_whole_request_has_no_ambiguous_fields(self) -> None:
        assert request_content(b"ab", b"c") != request_content(b"a", b"bc")


class TestCrashCauses:
    """Guards against a harmful content that is not found, and a sound one that is blamed."""

    @pytest.mark.parametrize("gap_s", [0.3, 2.0, 600.0])
    def test_harmful_part_is_found_by_the_fifth_crash(self, gap_s: float) -> None:
        """Sound requests with the same customer and first part are beside it each time."""
        crashes = [
            crash(n, n * gap_s, ["a", "bad"], ["a", f"sound-{n}"], ["a"])
            for n in range(MAX_CRASHES)
        ]
        found = find_causes(crashes, answered(a=0.0))
        assert set(found.harmful) == {part("bad")}
        assert found.harmful[part("bad")].crashes == MAX_CRASHES

    def test_nothing_is_known_to_be_sound_after_a_start(self) -> None:
        crashes = [crash(n, float(n), ["a", "bad"], ["a", f"s-{n}"]) for n in range(MAX_CRASHES)]
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_part_before_it_is_not_blamed_for_one_more_crash(self) -> None:
        crashes = [crash(n, float(n), ["a", "bad"]) for n in range(4)]
        crashes.append(crash(4, 4.0, ["a", "other"]))
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_first_part_of_all_requests_may_be_the_harmful_one(self) -> None:
        crashes = [crash(n, float(n), ["bad", f"s-{n}"]) for n in range(MAX_CRASHES)]
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_zone_that_fails_at_once_blocks_nothing(self) -> None:
        crashes = [crash(n, 1.0 + n / 50, ["a", "b"]) for n in range(10)]
        assert not find_causes(crashes, {}).harmful

    def test_part_with_whole_answers_after_the_crashes_is_sound(self) -> None:
        crashes = [crash(n, float(n), ["a"]) for n in range(MAX_CRASHES)]
        assert not find_causes(crashes, answered(a=9.0)).harmful

    def test_part_with_earlier_answers_needs_all_five_crashes(self) -> None:
        crashes = [crash(n, float(n + 1), ["a"]) for n in range(MAX_CRASHES)]
        assert not find_causes(crashes[:-1], answered(a=0.5)).harmful
        assert set(find_causes(crashes, answered(a=0.5)).harmful) == {part("a")}

    def test_crashes_of_five_engines_in_two_moments_suffice(self) -> None:
        times_s = (1.0, 1.02, 1.05, 1.1, 1.6)
        crashes = [crash(n, at_s, ["a", "bad"]) for n, at_s in enumerate(times_s)]
        assert set(find_causes(crashes, answered(a=0.0)).harmful) == {part("bad")}

    def test_wrongly_blamed_part_is_released_by_the_next_crash(self) -> None:
        crashes = [crash(n, float(n), ["bad"], ["zz"]) for n in range(3)]
        assert len(find_causes(crashes, {}).harmful) == 1
        crashes += [crash(n, float(n), ["bad"]) for n in range(3, 5)]
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_several_harmful_parts_are_found_together(self) -> None:
        crashes = [crash(n, float(n), ["a", "bad1"], ["a", f"s-{n}"]) for n in range(5)]
        crashes += [crash(10 + n, 0.5 + n, ["a", "bad2"], ["a", f"t-{n}"]) for n in range(5)]
        found = find_causes(crashes, answered(a=0.0))
        assert set(found.harmful) == {part("bad1"), part("bad2")}

    def test_rare_harmful_part_beside_a_frequent_one(self) -> None:
        crashes = [crash(n, float(n), ["bad1"]) for n in range(20)]
        crashes += [crash(30 + n, 30.0 + n, ["bad1"], ["bad2"]) for n in range(3)]
        crashes += [crash(40 + n, 40.0 + n, ["bad2"]) for n in range(2)]
        assert set(find_causes(crashes, {}).harmful) == {part("bad1"), part("bad2")}

    def test_sound_part_that_is_always_beside_a_harmful_one_is_not_blamed(self) -> None:
        crashes = [crash(n, float(n), ["bad"], ["sound"] if n % 2 else ["x"]) for n in range(20)]
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_customer_is_blamed_last(self) -> None:
        owner = customer_content("st-martin")
        crashes = [crash(n, float(n), ["bad"]) for n in range(MAX_CRASHES)]
        crashes = [found._replace(contents={**found.contents, owner: 0}) for found in crashes]
        assert set(find_causes(crashes, {}).harmful) == {part("bad")}

    def test_customer_of_all_crashes_without_a_common_part_is_blamed(self) -> None:
        owner = customer_content("st-martin")
        crashes = [EndpointCrash(f"e-{n}", float(n), {owner: 0}) for n in range(MAX_CRASHES)]
        assert set(find_causes(crashes, {}).harmful) == {owner}

    def test_repeated_request_without_parts_is_found(self) -> None:
        same = request_content(b"GET", b"/status/7")
        crashes = [
            EndpointCrash(f"e-{n}", float(n), {same: 0, request_content(b"%d" % n): 0})
            for n in range(MAX_CRASHES)
        ]
        assert not find_causes(crashes[:-1], {}).harmful
        assert set(find_causes(crashes, {}).harmful) == {same}


REQUEST = request_content(b"GET", b"/status/7")
OTHER = request_content(b"GET", b"/status/8")


def exposed(
    number: int,
    at_s: float,
    *requests: Content,
    held_s: float = 0.05,
    resent: bool = False,
    parts: Sequence[str] = (),
    peers: int = 4,
) -> EndpointCrash:
    """Return a crash under whole requests that were at the endpoint for `held_s`."""
    contents = {**part_contents(parts), **dict.fromkeys(requests, len(parts))}
    exposures = dict.fromkeys(requests, Exposure(held_s, resent))
    return EndpointCrash(f"e-{number}", at_s, contents, exposures, peers)


def other_end(number: int, at_s: float) -> EndpointCrash:
    return EndpointCrash(f"o-{number}", at_s, {request_content(b"%d" % number): 0}, {}, 4)


class TestDeadlyRequests:
    """Guards against evidence on whole requests that is counted by the clock or by its kind."""

    def test_sends_after_a_crash_are_evidence_of_their_own(self) -> None:
        crashes = [exposed(n, n / 50, REQUEST, resent=n > 0) for n in range(3)]
        assert set(find_causes(crashes, {}).harmful) == {REQUEST}
        assert not find_causes(crashes[:2], {}).harmful

    def test_repeats_at_other_instances_that_did_not_know_are_connected_by_time(self) -> None:
        crashes = [exposed(n, n * 0.2, REQUEST) for n in range(3)]
        assert set(find_causes(crashes, {}).harmful) == {REQUEST}

    def test_zone_that_fails_at_once_blames_no_request_at_all_its_engines(self) -> None:
        crashes = [exposed(n, 1.0 + n / 500, REQUEST, held_s=0.3) for n in range(6)]
        assert not find_causes(crashes, {}).harmful

    def test_zone_that_fails_at_once_on_clocks_that_differ_blames_no_request(self) -> None:
        """Three gateways, each with a copy under way, tell the same moment by their own clocks."""
        step_s = CLOCK_TOLERANCE_S / 2
        crashes = [exposed(n, 1.0 + n * step_s, REQUEST, held_s=0.3) for n in range(3)]
        assert not find_causes(crashes, {}).harmful

    def test_coincidences_are_likely_while_endpoints_end_in_series(self) -> None:
        crashes = [exposed(n, float(n), REQUEST, held_s=0.4) for n in range(5)]
        others = [other_end(n, n * 0.2) for n in range(20)]
        assert not find_causes([*crashes[:4], *others], {}).harmful
        assert set(find_causes([*crashes, *others], {}).harmful) == {REQUEST}

    def test_short_request_is_found_beside_other_ends(self) -> None:
        crashes = [exposed(n, float(n), REQUEST, held_s=0.03) for n in range(3)]
        others = [other_end(n, n / 2) for n in range(6)]
        assert set(find_causes([*crashes, *others], {}).harmful) == {REQUEST}

    def test_ends_that_a_blamed_request_explains_weigh_nothing(self) -> None:
        crashes = [exposed(n, n / 2, REQUEST, held_s=0.2) for n in range(3)]
        others = [exposed(10 + n, n / 4, OTHER, held_s=0.05) for n in range(6)]
        assert set(find_causes([*crashes, *others], {}).harmful) == {REQUEST, OTHER}

    def test_one_long_wait_in_a_queue_does_not_hide_it(self) -> None:
        crashes = [exposed(n, 40.0 * n, REQUEST, held_s=0.05) for n in range(3)]
        crashes.append(exposed(3, 160.0, REQUEST, held_s=30.0))
        assert set(find_causes(crashes, {}).harmful) == {REQUEST}

    def test_whole_answer_between_crashes_clears_it(self) -> None:
        crashes = [exposed(n, float(n), REQUEST) for n in range(3)]
        assert not find_causes(crashes, {REQUEST: AnsweredContent(REQUEST, 1.5)}).harmful

    def test_request_is_blamed_in_place_of_its_new_part(self) -> None:
        crashes = [exposed(n, float(n), REQUEST, parts=["a", "new"]) for n in range(3)]
        assert set(find_causes(crashes, answered(a=0.0)).harmful) == {REQUEST}

    def test_part_is_not_blamed_for_one_request_without_enough_evidence(self) -> None:
        """Its time at the endpoints is not known, as earlier versions do not tell it."""
        contents = {**part_contents(["a", "new"]), REQUEST: 2}
        crashes = [EndpointCrash(f"e-{n}", float(n), contents) for n in range(4)]
        assert not find_causes(crashes, {}).harmful

    def test_blame_moves_up_to_the_part_of_several_requests(self) -> None:
        requests = [request_content(b"%d" % number) for number in range(3)]
        crashes = [
            exposed(n, float(n), requests[n // 2], parts=["a", "bad"], held_s=0.1)
            for n in range(6)
        ]
        found = find_causes(crashes[:5], answered(a=0.0))
        assert set(found.harmful) == {part("bad")}
        assert found.harmful[part("bad")].requests == 3

    def test_request_that_is_always_beside_it_is_tried_soon(self) -> None:
        crashes = [exposed(n, float(n), REQUEST, OTHER, held_s=0.05) for n in range(3)]
        found = find_causes(crashes, {}).harmful
        assert len(found) == 1
        assert next(iter(found.values())).trial_delay_s is not None
        crashes.append(exposed(3, 3.0, REQUEST, held_s=0.05))
        found = find_causes(crashes, {}).harmful
        assert found[REQUEST].trial_delay_s is None
        assert OTHER not in found or found[OTHER].trial_delay_s is not None

    def test_trials_end_with_enough_crashes(self) -> None:
        """Each trial of a harmful content ends an endpoint."""
        for count in (3, 4, 5, 6):
            crashes = [
                exposed(n, float(n), request_content(b"%d" % n), parts=["bad"], held_s=0.3)
                for n in range(count)
            ]
            evidence = find_causes(crashes, {}).harmful[part("bad")]
            assert (evidence.trial_delay_s is None) == (count == 6)


class TestCrashCauseProperties:
    """Guards against evidence in an unusual order or mixture that hides a harmful part."""

    @given(seed=st.integers(0, 10_000), harmful=st.integers(1, 3))
    def test_only_harmful_parts_are_blamed_in_the_end(self, seed: int, harmful: int) -> None:
        """Each crash has one harmful part beside a batch of sound requests of 200 subjects."""
        rng = random.Random(seed)
        bad = [f"bad{n}" for n in range(harmful)]
        crashes = []
        for number in range(MAX_CRASHES * harmful):
            batch = [["a", f"s{rng.randrange(200)}"] for _ in range(rng.randrange(8))]
            at_s = number * rng.uniform(0.3, 5.0) + number
            crashes.append(crash(number, at_s, ["a", bad[number % harmful]], *batch))
        rng.shuffle(crashes)
        found = set(find_causes(crashes, answered(a=0.0)).harmful)
        assert found == {part(name) for name in bad}
