"""Tests of what an instance knows of contents that end endpoints."""

import random
from collections.abc import Callable

from cassiadrum.crash_evidence import (
    BELIEF_S,
    EVIDENCE_S,
    Content,
    ContentKind,
    Contents,
    CrashBoard,
    customer_content,
    part_contents,
    request_content,
)
from cassiadrum.crash_evidence.answered_contents import MAX_ANSWERED
from cassiadrum.crash_evidence.crash_boards import (
    MAX_CRASHES,
    MAX_NEWS_CONTENTS,
    MAX_NEWS_CRASHES,
)
from cassiadrum.crash_evidence.crash_records import MAX_CRASH_CONTENTS

BAD = Content(ContentKind.PART, "bad")
SHARED = Content(ContentKind.PART, "a")


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


class Fleet:
    """Boards that tell each other what they know."""

    def __init__(self, size: int) -> None:
        self.clock = Clock()
        self.boards = [self.make_board() for _ in range(size)]

    def make_board(self) -> CrashBoard:
        return CrashBoard(self.clock, random.Random(1))

    def spread(self) -> None:
        """Let all boards read what all tell, until nothing changes."""
        for _ in range(2):
            news = [board.own_news() for board in self.boards]
            for board in self.boards:
                board.apply(news)

    def crash(self, board: int, *prompts: list[str], name: str = "") -> None:
        """Record at one board that an engine ended, a second after the last one."""
        self.clock.now_s += 1.0
        contents: Contents = {}
        for parts in prompts:
            contents.update(part_contents(parts))
        self.boards[board].record_crash(name or f"e-{self.clock.now_s}", contents)


class TestSharedEvidence:
    """Guards against gateways each of which has to see all crashes by itself."""

    def test_one_crash_at_each_of_five_gateways(self) -> None:
        fleet = Fleet(5)
        for number in range(5):
            fleet.crash(number, ["a", "bad"], ["a", f"sound-{number}"])
            fleet.spread()
        assert all(set(board.harmful) == {BAD} for board in fleet.boards)

    def test_one_crash_that_several_gateways_see_counts_once(self) -> None:
        fleet = Fleet(5)
        for number in range(5):
            fleet.boards[number].record_crash("e-1", part_contents(["a", "bad"]))
        fleet.spread()
        assert not any(board.harmful for board in fleet.boards)

    def test_new_gateway_knows_what_the_others_tell(self) -> None:
        fleet = Fleet(2)
        for number in range(5):
            fleet.crash(number % 2, ["a", "bad"])
        fleet.spread()
        fleet.clock.now_s += BELIEF_S / 2
        fleet.boards.append(fleet.make_board())
        fleet.spread()
        assert set(fleet.boards[-1].harmful) == {BAD}

    def test_restarted_gateway_goes_on_telling(self) -> None:
        fleet = Fleet(1)
        for _ in range(5):
            fleet.crash(0, ["a", "bad"])
        news = fleet.boards[0].own_news()
        successor = fleet.make_board()
        successor.adopt(news)
        assert set(successor.harmful) == {BAD}
        assert successor.own_news() == news

    def test_answers_elsewhere_clear_a_part(self) -> None:
        """The gateways that lost the requests never had an answer on the part."""
        fleet = Fleet(4)
        told: list[str] = []
        silent = fleet.boards.pop()
        silent.on_answers = lambda: told.append("answers")
        silent.record_answered([SHARED])
        for number in range(4):
            fleet.crash(number % 3, ["a"])
            silent.apply([board.own_news() for board in fleet.boards])
            if told and silent not in fleet.boards:
                fleet.boards.append(silent)
            fleet.spread()
        assert told == ["answers"]
        assert not any(board.harmful for board in fleet.boards)

    def test_whole_answer_ends_the_belief_everywhere(self) -> None:
        fleet = Fleet(3)
        for number in range(3):
            fleet.crash(number, ["bad"])
        fleet.spread()
        told: list[str] = []
        fleet.boards[1].on_news = lambda: told.append("news")
        fleet.clock.now_s += 1.0
        fleet.boards[1].record_answered([BAD])
        assert told
        fleet.spread()
        assert not any(board.harmful for board in fleet.boards)

    def test_known_contents_are_not_told(self) -> None:
        """An ordinary crash beside parts with answers needs no call to the store."""
        fleet = Fleet(1)
        told: list[str] = []
        fleet.boards[0].on_news = lambda: told.append("news")
        fleet.boards[0].record_begun([SHARED, BAD])
        contents = part_contents(["a", "bad"])
        contents[customer_content("st-martin")] = 0
        fleet.boards[0].record_crash("e-1", contents)
        assert not told
        assert not fleet.boards[0].own_news().crashes

    def test_whole_request_is_told_at_once_without_its_known_contents(self) -> None:
        """It may come to another gateway each time."""
        fleet = Fleet(1)
        told: list[str] = []
        fleet.boards[0].on_news = lambda: told.append("news")
        fleet.boards[0].record_begun([SHARED, BAD])
        same = request_content(b"x")
        contents = part_contents(["a", "bad"])
        contents[same] = 2
        contents[customer_content("st-martin")] = 0
        fleet.boards[0].record_crash("e-1", contents)
        assert told
        assert [crash.contents for crash in fleet.boards[0].own_news().crashes] == [{same: 2}]


class TestSuspicion:
    """Guards against a request that is sent on before it is known why its endpoint ended."""

    def make(self) -> tuple[CrashBoard, Clock]:
        clock = Clock()
        board = CrashBoard(clock, random.Random(1))
        return board, clock

    def test_part_without_an_answer_is_suspect_after_one_crash(self) -> None:
        board, _ = self.make()
        assert not board.is_suspect([SHARED, BAD])
        board.record_begun([SHARED])
        board.record_crash("e-1", part_contents(["a", "bad"]))
        assert board.is_suspect([BAD])
        assert not board.is_suspect([SHARED])

    def test_answer_ends_the_suspicion(self) -> None:
        board, clock = self.make()
        board.record_crash("e-1", part_contents(["bad"]))
        clock.now_s += 1.0
        board.record_answered([BAD])
        assert not board.is_suspect([BAD])

    def test_crash_that_another_part_explains_leaves_no_suspicion(self) -> None:
        board, clock = self.make()
        for number in range(4):
            clock.now_s += 1.0
            parts = part_contents(["bad"])
            if number == 3:
                parts.update(part_contents(["sound"]))
            board.record_crash(f"e-{number}", parts)
        assert set(board.harmful) == {BAD}
        assert not board.is_suspect(part_contents(["sound"]))

    def test_whole_request_is_suspect_after_two_crashes(self) -> None:
        board, clock = self.make()
        same = request_content(b"x")
        board.record_crash("e-1", {same: 0})
        assert not board.is_suspect([same])
        clock.now_s += 1.0
        board.record_crash("e-2", {same: 0})
        assert board.is_suspect([same])


class TestEndOfBelief:
    """Guards against a belief without an end, and one that ends with its requests."""

    def make(self) -> Fleet:
        fleet = Fleet(1)
        for _ in range(5):
            fleet.crash(0, ["bad"])
        return fleet

    def test_belief_outlasts_a_lull_and_ends(self) -> None:
        fleet = self.make()
        board = fleet.boards[0]
        evidence = board.harmful[BAD]
        assert board.ends_in_s(evidence) == BELIEF_S
        fleet.clock.now_s += BELIEF_S - 10
        board.expire()
        assert BAD in board.harmful
        assert board.age_s(evidence) == BELIEF_S - 10
        changes: list[str] = []
        board.on_change = lambda: changes.append("change")
        fleet.clock.now_s += 20
        board.expire()
        assert not board.harmful
        assert changes

    def test_one_more_crash_renews_it(self) -> None:
        fleet = self.make()
        board = fleet.boards[0]
        fleet.clock.now_s += 2 * BELIEF_S
        board.expire()
        assert not board.harmful
        assert board.is_suspect([BAD])
        fleet.crash(0, ["bad"])
        assert BAD in board.harmful

    def test_evidence_ends(self) -> None:
        fleet = self.make()
        board = fleet.boards[0]
        fleet.clock.now_s += EVIDENCE_S + 10
        board.expire()
        assert not board.is_suspect([BAD])
        assert not board.own_news().crashes
        fleet.crash(0, ["bad"])
        assert not board.harmful

    def test_rare_requests_are_found_within_a_day(self) -> None:
        fleet = Fleet(1)
        for _ in range(3):
            fleet.clock.now_s += EVIDENCE_S / 4
            fleet.crash(0, ["bad"])
            fleet.boards[0].expire()
        assert BAD in fleet.boards[0].harmful


class TestBounds:
    """Guards against callers that choose how much is kept of their requests."""

    def fill(self, board: CrashBoard, clock: Clock, parts: Callable[[int], list[str]]) -> None:
        for number in range(4 * MAX_CRASHES):
            clock.now_s += 0.01
            board.record_crash(f"e-{number}", part_contents(parts(number)))

    def test_memory_and_news_are_bounded(self) -> None:
        clock = Clock()
        board = CrashBoard(clock, random.Random(1))
        self.fill(board, clock, lambda number: [f"{number}.{n}" for n in range(900)])
        news = board.own_news()
        crashes = board._crashes.ordered()
        assert len(crashes) <= MAX_CRASHES
        assert all(len(crash.contents) <= MAX_CRASH_CONTENTS for crash in crashes)
        assert len(news.crashes) <= MAX_NEWS_CRASHES
        assert sum(len(crash.contents) for crash in news.crashes) <= MAX_NEWS_CONTENTS
        for number in range(2 * MAX_ANSWERED):
            board.record_answered([Content(ContentKind.PART, str(number))])
        assert len(board._answered) <= MAX_ANSWERED

    def test_harmful_part_among_hundreds_of_others_is_found(self) -> None:
        """Its place in the prompt and its name do not matter."""
        for place in (0, 300, 599):
            clock = Clock()
            board = CrashBoard(clock, random.Random(place))
            for number in range(40):
                clock.now_s += 1.0
                parts = [f"{number}.{n}" for n in range(600)]
                parts[place] = "bad"
                board.record_crash(f"e-{number}", part_contents(parts))
            assert set(board.harmful) == {BAD}

    def test_evidence_for_a_harmful_part_is_kept_beside_many_other_crashes(self) -> None:
        clock = Clock()
        board = CrashBoard(clock, random.Random(1))
        for number in range(5):
            clock.now_s += 1.0
            board.record_crash(f"bad-{number}", part_contents(["bad"]))
        self.fill(board, clock, lambda number: [f"other-{number}"])
        assert BAD in board.harmful
        told = {content for crash in board.own_news().crashes for content in crash.contents}
        assert BAD in told
