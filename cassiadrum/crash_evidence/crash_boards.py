"""What an instance knows of contents that end endpoints."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Final, NamedTuple

from cassiadrum.crash_evidence.answered_contents import AnsweredContents
from cassiadrum.crash_evidence.contents import Content, ContentKind, Contents
from cassiadrum.crash_evidence.crash_causes import (
    CrashCauses,
    HarmEvidence,
    counts_against,
    find_causes,
)
from cassiadrum.crash_evidence.crash_moments import count_moments
from cassiadrum.crash_evidence.crash_records import EVIDENCE_S, CrashRecords
from cassiadrum.crash_evidence.endpoint_crashes import (
    NO_EXPOSURES,
    AnsweredContent,
    EndpointCrash,
)
from cassiadrum.crash_evidence.exposures import Exposure

__all__ = ["BELIEF_S", "CrashBoard", "CrashNews", "HarmfulContent"]

# Time after the last crash under a content for which it is blamed; its requests are refused, and
# show nothing more.
BELIEF_S: Final = 3600.0
# Retry-After of a request whose content is about to be tried.
MIN_RETRY_AFTER_S: Final = 1.0
MAX_CRASHES: Final = 64
# Crashes of one harmful content that are kept before all others.
KEPT_CRASHES: Final = 8
# Crashes and contents that one instance tells the others.
MAX_NEWS_CRASHES: Final = 16
MAX_NEWS_CONTENTS: Final = 512
MAX_NEWS_ANSWERED: Final = 256
# Unexplained moments from which on a content is suspect although answers were begun on it, and
# from which on it is told.
REPEATED_MOMENTS: Final = 2
# Unexplained moments from which on answers on a content are told: before those blame it that know
# of no answer, and before those do that know of earlier ones only.
TELL_MOMENTS: Final = 2
TELL_MOMENTS_ANSWERED: Final = 4


class HarmfulContent(NamedTuple):
    """A content that ends endpoints, and the evidence for it."""

    content: Content
    evidence: HarmEvidence


class CrashNews(NamedTuple):
    """What one instance tells the others; times are on the clock of its board."""

    crashes: tuple[EndpointCrash, ...]
    answered: tuple[AnsweredContent, ...]


class CrashBoard:
    """The evidence of all instances on which contents end endpoints, as one of them knows it.

    Instances that have the same evidence blame the same contents, so that only evidence is told.
    A content is no longer blamed after a whole answer on it, or BELIEF_S after its last crash. In
    the second case one more crash within EVIDENCE_S of the others suffices to blame it again.
    `clock` returns seconds that go on while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float], rng: Random) -> None:
        # Called when there are crashes to tell, when there are answers to tell on contents that
        # others may blame, and when contents may have become harmful, suspect or neither.
        self.on_news: Callable[[], None] = lambda: None
        self.on_answers: Callable[[], None] = lambda: None
        self.on_change: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        # What all instances and what this instance saw.
        self._crashes = CrashRecords(MAX_CRASHES, self._rank)
        self._own = CrashRecords(MAX_NEWS_CRASHES, self._rank)
        self._answered = AnsweredContents()
        self._causes = CrashCauses({}, frozenset())
        # The contents that are blamed now.
        self._harmful: dict[Content, HarmEvidence] = {}
        # Crashes that no blamed content explains, in order of time.
        self._unexplained: list[EndpointCrash] = []
        # Contents that a crash counts against.
        self._accused: set[Content] = set()

    @property
    def harmful(self) -> Mapping[Content, HarmEvidence]:
        """Return the contents that are blamed, with their evidence."""
        return self._harmful

    def find_harmful(
        self, contents: Iterable[Content], tried: Content | None = None
    ) -> HarmfulContent | None:
        """Return a blamed content of a request, None if it has none but the one that is tried."""
        harmful = self._harmful
        if not harmful:
            return None
        blamed = (found for found in contents if found in harmful and found != tried)
        return next((HarmfulContent(found, harmful[found]) for found in blamed), None)

    def is_suspect(self, contents: Iterable[Content]) -> bool:
        """Return whether a request may be what ended an endpoint, as far as is known."""
        return bool(self._accused) and any(map(self._is_suspect, contents))

    def has_crash(self, content: Content) -> bool:
        """Return whether an endpoint ended under a content, with no whole answer since."""
        return content in self._accused

    def age_s(self, evidence: HarmEvidence) -> float:
        """Return the seconds since the last crash of the evidence."""
        return max(0.0, self._clock() - evidence.last_s)

    def ends_in_s(self, evidence: HarmEvidence) -> float:
        """Return the seconds until the evidence no longer counts."""
        return max(0.0, evidence.last_s + BELIEF_S - self._clock())

    def retry_after_s(self, evidence: HarmEvidence) -> float:
        """Return the seconds after which a request may be served, if its content is sound."""
        if evidence.trial_delay_s is None:
            return self.ends_in_s(evidence)
        return max(MIN_RETRY_AFTER_S, evidence.last_s + evidence.trial_delay_s - self._clock())

    # Evidence of this instance.

    def record_begun(self, contents: Iterable[Content]) -> None:
        """Record that an endpoint has begun an answer to a request and goes on."""
        self._answered.record_begun(contents)

    def record_answered(self, contents: Iterable[Content]) -> None:
        """Record a whole answer; crashes before it are no evidence against its contents."""
        now = self._clock()
        for content in contents:
            accused = content in self._accused
            # Few requests are the same, and most would only displace other contents.
            if accused or content.kind is not ContentKind.REQUEST:
                self._answered.record_whole(content, now)
            if accused:
                self._clear(content)

    def record_crash(
        self,
        endpoint: str,
        contents: Contents,
        exposures: Mapping[Content, Exposure] = NO_EXPOSURES,
        peers: int = 1,
    ) -> None:
        """Record that an endpoint ended while it may have begun the answers to requests.

        `contents` are those of all these requests, `exposures` those of the whole requests among
        them. `peers` is the number of endpoints of the service.
        """
        crash = EndpointCrash(endpoint, self._clock(), contents, exposures, peers)
        self._own.add(crash)
        self._crashes.add(crash)
        self._update()
        if self._told_contents(crash):
            self.on_news()

    def expire(self) -> None:
        """Forget evidence that no longer counts; called periodically."""
        now = self._clock()
        self._own.expire(now)
        expired = self._crashes.expire(now)
        if expired or any(not self._is_current(found) for found in self._harmful.values()):
            self._update()

    # News.

    def own_news(self) -> CrashNews:
        """Return what this instance tells the others."""
        crashes: list[EndpointCrash] = []
        size = 0
        for crash in reversed(self._own.ordered()):
            contents = self._told_contents(crash)
            size += len(contents)
            if contents and size <= MAX_NEWS_CONTENTS:
                crashes.append(crash._replace(contents=contents))
        concerned = self._crashes.contents()
        answered = [found for content, found in self._answered.own.items() if content in concerned]
        return CrashNews(tuple(crashes), tuple(answered[-MAX_NEWS_ANSWERED:]))

    def adopt(self, news: CrashNews) -> None:
        """Go on telling what an earlier process of this instance told."""
        for crash in news.crashes:
            self._own.add(crash)
        for answered in news.answered:
            self._answered.adopt(answered)
        self._own.expire(self._clock())
        self.apply([news])

    def apply(self, all_news: Iterable[CrashNews]) -> None:
        """Apply what the instances tell."""
        oldest_s = self._clock() - EVIDENCE_S
        changed = False
        for news in all_news:
            for crash in news.crashes:
                changed |= crash.at_s >= oldest_s and self._crashes.add(crash)
            for answered in news.answered:
                changed |= self._answered.add_told(answered)
        if not changed:
            return
        self._update()
        if any(map(self._improves, self._crashes.contents() & self._answered.own.keys())):
            self.on_answers()

    def _clear(self, content: Content) -> None:
        """Handle a whole answer on a content of earlier crashes."""
        self._accused.discard(content)
        if content in self._harmful:
            self._update()
            self.on_news()
            return
        self.on_change()
        if self._improves(content):
            self.on_answers()

    def _improves(self, content: Content) -> bool:
        """Return whether an own answer tells the others more than they know of a content."""
        whole_s = self._answered.own[content].whole_s
        if whole_s is None:
            return False
        told = self._answered.told.get(content)
        moments = self._unexplained_moments(content, self._answered.told)
        if told is None:
            return moments >= (1 if content.kind is ContentKind.REQUEST else TELL_MOMENTS)
        return moments >= TELL_MOMENTS_ANSWERED and whole_s > (told.whole_s or 0.0)

    def _is_suspect(self, content: Content) -> bool:
        if content in self._causes.harmful:
            return True
        if content.kind is ContentKind.CUSTOMER or content not in self._accused:
            return False
        if content.kind is ContentKind.PART and content not in self._answered:
            return self._unexplained_moments(content, self._answered) >= 1
        return self._unexplained_moments(content, self._answered) >= REPEATED_MOMENTS

    def _unexplained_moments(
        self, content: Content, answered: Mapping[Content, AnsweredContent]
    ) -> int:
        """Return the moments of crashes against a content that no blamed content explains."""
        found = [crash for crash in self._unexplained if counts_against(content, crash, answered)]
        return count_moments(content, found)

    def _told_contents(self, crash: EndpointCrash) -> Contents:
        """Return the contents of a crash that the other instances may have to blame."""
        return {
            content: depth
            for content, depth in crash.contents.items()
            if self._is_told(content, crash)
        }

    def _is_told(self, content: Content, crash: EndpointCrash) -> bool:
        if content in self._causes.harmful:
            return True
        if content.kind is ContentKind.PART and content not in self._answered.own:
            return True
        if content.kind is ContentKind.REQUEST:
            # It may come to another gateway next time, which sees its other crashes. An endpoint
            # that ends for another reason cuts off many streams, few of which are cut off again.
            exposure = crash.exposures.get(content, Exposure())
            return not exposure.begun or exposure.resent
        return self._unexplained_moments(content, self._answered) >= REPEATED_MOMENTS

    def _rank(self, content: Content) -> tuple[float, ...]:
        """Return the rank of a content in a crash that has too many of them.

        Those that other crashes count against go first, and those on which no answer is known. The
        rest is left to chance: with a choice by name or place, callers could keep a harmful part
        out of all crashes.
        """
        return content not in self._accused, content in self._answered, self._rng.random()

    def _update(self) -> None:
        """Find the causes anew, and forget what is not needed for it."""
        crashes = self._crashes.ordered()
        concerned = self._crashes.contents()
        self._answered.forget_told(concerned)
        causes = find_causes(crashes, self._answered)
        needed = {
            name for found in causes.harmful.values() for name in found.endpoints[-KEPT_CRASHES:]
        }
        self._crashes.limit(needed)
        self._own.limit(needed)
        self._unexplained = [crash for crash in crashes if crash.endpoint not in causes.explained]
        self._accused = concerned - {
            content
            for content in concerned & (self._answered.own.keys() | self._answered.told.keys())
            if not any(counts_against(content, crash, self._answered) for crash in crashes)
        }
        harmful = {
            content: found for content, found in causes.harmful.items() if self._is_current(found)
        }
        changed = causes != self._causes or harmful != self._harmful
        self._causes, self._harmful = causes, harmful
        if changed:
            self.on_change()

    def _is_current(self, evidence: HarmEvidence) -> bool:
        return self.ends_in_s(evidence) > 0.0
