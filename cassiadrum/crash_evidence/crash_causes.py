"""Search for the contents of requests that explain why endpoints ended."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from itertools import chain
from typing import Final, NamedTuple

from cassiadrum.crash_evidence.coincidences import coincidence_strength
from cassiadrum.crash_evidence.contents import Content, ContentKind
from cassiadrum.crash_evidence.crash_moments import count_moments
from cassiadrum.crash_evidence.endpoint_crashes import AnsweredContent, EndpointCrash
from cassiadrum.crash_evidence.exposures import Exposure

__all__ = ["CrashCauses", "HarmEvidence", "counts_against", "find_causes"]

# Moments after which a part is blamed that no endpoint has begun an answer on.
MIN_MOMENTS: Final = 3
# The same for parts that answers have been begun on, whole requests and customers. Sound requests
# beside harmful ones lose their endpoints as often, so only moments without another explanation
# count.
MIN_MOMENTS_ANSWERED: Final = 5
# Moments after which a whole request is blamed, where those that another content explains count
# less, if the probability that a sound one was there each time is below exp(-MIN_STRENGTH).
MIN_MOMENTS_REQUEST: Final = 3
MIN_STRENGTH: Final = 8.0
# Strength from which on it is not in doubt that a whole request is harmful.
SURE_STRENGTH: Final = 16.0
# Crashes from which on a whole request, and any other content, is not in doubt either: the trials
# of a harmful one end an endpoint each.
SURE_CRASHES_REQUEST: Final = 5
SURE_CRASHES: Final = 6
# Times in seconds from the last crash until a request with a content in doubt is tried: a part or
# a customer, for which sound requests of others are refused, the same where a coincidence is
# improbable, and a whole request.
TRIAL_DELAY_S: Final = 10.0
LONG_TRIAL_DELAY_S: Final = 120.0
REQUEST_TRIAL_DELAY_S: Final = 30.0
# Different whole requests under which endpoints have to end before a part or a customer is blamed:
# fewer requests, each of which holds fewer others, explain the crashes otherwise.
MIN_REQUESTS: Final = 3
# Crashes that suffice with fewer unexplained moments: two, or one of three moments in all. The
# requests of one moment may be those of a zone that failed.
MIN_CRASHES: Final = 5
MIN_MOMENTS_OF_CRASHES: Final = 2
# Weight of a moment that another content explains, next to one without an explanation.
EXPLAINED_WEIGHT: Final = 0.5
# The same for a whole request: gateways keep requests apart under which endpoints ended.
EXPLAINED_WEIGHT_REQUEST: Final = 0.75
# Among contents with nearly the evidence of the strongest one, the most specific is blamed: what
# all requests of a route hold is part of each crash too.
SIMILAR_EVIDENCE: Final = 0.75


class HarmEvidence(NamedTuple):
    """Why a content is believed to end endpoints; times are in seconds on the board's clock.

    `requests` is the number of whole requests that explain the crashes, `strength` the negative
    logarithm of the probability that a request with the content was part of them by chance.
    `trial_delay_s` is the time from the last crash until a request may be tried, None if the
    content is not in doubt.
    """

    crashes: int
    moments: int
    requests: int
    strength: float
    trial_delay_s: float | None
    first_s: float
    last_s: float
    endpoints: tuple[str, ...]


class CrashCauses(NamedTuple):
    """The contents that are blamed, and the endpoints whose end they explain."""

    harmful: dict[Content, HarmEvidence]
    explained: frozenset[str]


class _Candidate(NamedTuple):
    """A content that may be blamed.

    `counted` are its crashes without those that a content with a greater depth explains: where
    that is a later part of the same prompts, this one is part of each of its crashes.
    """

    content: Content
    depth: int
    crashes: tuple[EndpointCrash, ...]
    counted: int
    moments: int
    # Crashes that no other blamed content explains, and their moments.
    unexplained_crashes: tuple[EndpointCrash, ...]
    unexplained: int

    @property
    def score(self) -> float:
        """Return the number of moments; those that another content explains count less."""
        explained = max(0, self.moments - self.unexplained)
        return self.unexplained + EXPLAINED_WEIGHT * explained

    @property
    def specificity(self) -> tuple[int, int]:
        """Return the rank of the content, highest for one that the fewest requests hold."""
        return -KIND_ORDER[self.content.kind], self.depth


KIND_ORDER: Final = {kind: number for number, kind in enumerate(ContentKind)}


def find_causes(
    crashes: Iterable[EndpointCrash], answered: Mapping[Content, AnsweredContent]
) -> CrashCauses:
    """Return which contents end endpoints, by the endpoints that ended as they began answers.

    A content that ends endpoints is part of each crash that it causes, and no whole answer is ever
    made on it. One content at a time is blamed for all crashes that it is part of, and the others
    have to be part of further crashes, until no content has enough evidence. Two contents that
    are part of the same crashes are never blamed both: if the wrong one is, the next crash tells.
    Of contents with similar evidence the one is blamed that the fewest requests hold. A part is
    blamed in place of whole requests once endpoints end under several requests that hold it.
    `answered` has the contents on which answers were begun; a whole answer voids earlier crashes.
    """
    ordered = sorted(crashes, key=lambda crash: (crash.at_s, crash.endpoint))
    evidence = _repeated_evidence(ordered, answered)
    # The blamed contents that explain the ends of endpoints.
    explained: dict[str, _Candidate] = {}
    harmful: dict[Content, HarmEvidence] = {}
    while True:
        candidates = [
            _candidate(content, found, explained, answered)
            for content, found in evidence.items()
            if content not in harmful
        ]
        ends = [crash for crash in ordered if crash.endpoint not in explained]
        blamed = [c for c in candidates if _has_enough_evidence(c, ends, answered)]
        cause = _strongest(blamed, answered)
        if cause is None:
            return CrashCauses(harmful, frozenset(explained))
        harmful[cause.content] = _describe(cause, candidates, ends)
        explained |= {crash.endpoint: cause for crash in cause.crashes}


def counts_against(
    content: Content, crash: EndpointCrash, answered: Mapping[Content, AnsweredContent]
) -> bool:
    """Return whether a crash is evidence against a content."""
    if content not in crash.contents:
        return False
    if content not in answered:
        return True
    whole_s = answered[content].whole_s
    return whole_s is None or whole_s < crash.at_s


def _repeated_evidence(
    ordered: Sequence[EndpointCrash], answered: Mapping[Content, AnsweredContent]
) -> dict[Content, list[EndpointCrash]]:
    """Return the crashes that count against each content of several ones, ordered by time.

    Nearly all contents are part of one crash.
    """
    counts = Counter(chain.from_iterable(crash.contents for crash in ordered))
    evidence: dict[Content, list[EndpointCrash]] = defaultdict(list)
    for crash in ordered:
        for content in crash.contents:
            if counts[content] > 1 and counts_against(content, crash, answered):
                evidence[content].append(crash)
    return evidence


def _candidate(
    content: Content,
    crashes: list[EndpointCrash],
    explained: Mapping[str, _Candidate],
    answered: Collection[Content],
) -> _Candidate:
    depth = max(crash.contents[content] for crash in crashes)
    causes = {
        crash.endpoint: explained[crash.endpoint]
        for crash in crashes
        if crash.endpoint in explained
    }
    if content.kind is ContentKind.PART and content not in answered:
        # Whole requests that are blamed may all owe it to this part.
        causes = {
            endpoint: cause
            for endpoint, cause in causes.items()
            if cause.content.kind is not ContentKind.REQUEST
        }
    counted = [
        crash
        for crash in crashes
        if content.kind is ContentKind.REQUEST
        or crash.endpoint not in causes
        or causes[crash.endpoint].depth <= depth
    ]
    unexplained = tuple(crash for crash in crashes if crash.endpoint not in causes)
    return _Candidate(
        content,
        depth,
        tuple(crashes),
        len(counted),
        count_moments(content, counted),
        unexplained,
        count_moments(content, unexplained),
    )


def _strongest(blamed: Sequence[_Candidate], answered: Collection[Content]) -> _Candidate | None:
    """Return the content to blame next of those with enough evidence, None if there is none."""
    # Contents that answers have been begun on are blamed for what the others do not explain.
    fresh = [c for c in blamed if not _is_likely_sound(c, answered)]
    blamed = fresh or blamed
    if not blamed:
        return None
    strongest = max(c.unexplained for c in blamed)
    similar = [c for c in blamed if c.unexplained >= SIMILAR_EVIDENCE * strongest]
    return max(similar, key=lambda c: (c.specificity, c.unexplained, c.content.name))


def _is_likely_sound(candidate: _Candidate, answered: Collection[Content]) -> bool:
    """Return whether a content is part of many crashes by chance, as other requests hold it."""
    if candidate.content.kind is ContentKind.REQUEST:
        return False
    return candidate.content in answered or candidate.content.kind is ContentKind.CUSTOMER


def _has_enough_evidence(
    candidate: _Candidate, ends: Collection[EndpointCrash], answered: Collection[Content]
) -> bool:
    if candidate.content.kind is ContentKind.REQUEST:
        return _is_deadly(candidate, ends)
    if not candidate.unexplained:
        return False
    if _is_likely_sound(candidate, answered) or _is_possible_by_chance(candidate, ends):
        enough = candidate.unexplained >= MIN_MOMENTS_ANSWERED
    else:
        enough = _has_enough_moments(candidate)
    return enough and _count_requests(candidate) >= MIN_REQUESTS


def _is_deadly(candidate: _Candidate, ends: Collection[EndpointCrash]) -> bool:
    """Return whether a whole request has enough evidence.

    One that its gateway and its caller repeat while endpoints end for other reasons may be part of
    several crashes.
    """
    if _count_beginnings(candidate) >= MIN_MOMENTS_ANSWERED:
        return True
    explained = max(0, candidate.moments - candidate.unexplained)
    score = candidate.unexplained + EXPLAINED_WEIGHT_REQUEST * explained
    if score < MIN_MOMENTS_REQUEST:
        return False
    # A long stream is cut off by other causes as well, one after the other.
    has_begun = any(
        crash.exposures.get(candidate.content, Exposure()).begun for crash in candidate.crashes
    )
    return _strength(candidate, ends) >= (SURE_STRENGTH if has_begun else MIN_STRENGTH)


def _count_beginnings(candidate: _Candidate) -> int:
    """Return the unexplained moments at which answers to a whole request had not begun.

    A long stream may be cut off many times by chance.
    """
    content = candidate.content
    beginnings = (
        crash
        for crash in candidate.unexplained_crashes
        if not crash.exposures.get(content, Exposure()).begun
    )
    return count_moments(content, beginnings)


def _is_possible_by_chance(candidate: _Candidate, ends: Collection[EndpointCrash]) -> bool:
    """Return whether requests with a part may have been at all endpoints that ended by chance."""
    if len(candidate.crashes) >= MIN_CRASHES or not any(c.exposures for c in candidate.crashes):
        return False
    return _strength(candidate, ends) < MIN_STRENGTH


def _strength(candidate: _Candidate, ends: Collection[EndpointCrash]) -> float:
    return coincidence_strength(candidate.content, candidate.crashes, ends)


def _has_enough_moments(candidate: _Candidate) -> bool:
    if candidate.score >= MIN_MOMENTS:
        return True
    if candidate.counted < MIN_CRASHES:
        return False
    return candidate.unexplained >= MIN_MOMENTS_OF_CRASHES or candidate.moments >= MIN_MOMENTS


def _count_requests(candidate: _Candidate) -> int:
    """Return how many whole requests are needed to explain all crashes of a content.

    The one that is part of most of them goes first. A crash without a known request counts as one.
    """
    left = [
        {content for content in crash.contents if content.kind is ContentKind.REQUEST}
        for crash in candidate.crashes
    ]
    count = sum(not requests for requests in left)
    left = [requests for requests in left if requests]
    while left:
        common, _ = Counter(chain.from_iterable(left)).most_common(1)[0]
        left = [requests for requests in left if common not in requests]
        count += 1
    return count


def _describe(
    cause: _Candidate, candidates: Iterable[_Candidate], ends: Collection[EndpointCrash]
) -> HarmEvidence:
    crashes = cause.crashes
    strength = _strength(cause, ends)
    return HarmEvidence(
        len(crashes),
        count_moments(cause.content, crashes),
        _count_requests(cause),
        strength,
        _trial_delay_s(cause, candidates, strength),
        crashes[0].at_s,
        crashes[-1].at_s,
        tuple(crash.endpoint for crash in crashes),
    )


def _trial_delay_s(
    cause: _Candidate, candidates: Iterable[_Candidate], strength: float
) -> float | None:
    """Return when a request may be tried; blame of a part or a customer affects other callers."""
    if cause.content.kind is not ContentKind.REQUEST:
        if len(cause.crashes) >= SURE_CRASHES:
            return None
        return LONG_TRIAL_DELAY_S if strength >= SURE_STRENGTH else TRIAL_DELAY_S
    if len(cause.crashes) >= SURE_CRASHES_REQUEST:
        return None
    is_ambiguous = any(
        c.content.kind is ContentKind.REQUEST and c.crashes == cause.crashes
        for c in candidates
        if c.content != cause.content
    )
    return REQUEST_TRIAL_DELAY_S if is_ambiguous or strength < SURE_STRENGTH else None
