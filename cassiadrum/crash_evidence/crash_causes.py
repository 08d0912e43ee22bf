"""Search for the contents of requests that explain why endpoints ended."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping
from itertools import chain
from typing import Final, NamedTuple

from cassiadrum.crash_evidence.contents import Content, ContentKind
from cassiadrum.crash_evidence.endpoint_crashes import AnsweredContent, EndpointCrash

__all__ = [
    "MOMENT_S",
    "CrashCauses",
    "HarmEvidence",
    "count_moments",
    "counts_against",
    "find_causes",
]

# Endpoints that end within this time of each other may have a common cause, such as a failed zone,
# and count once. It covers the delay of gateways and the difference of their clocks.
MOMENT_S: Final = 0.25
# Moments after which a part is blamed that no endpoint has begun an answer on.
MIN_MOMENTS: Final = 3
# The same for parts that answers have been begun on, whole requests and customers. Sound requests
# beside harmful ones lose their endpoints as often, so only moments without another explanation
# count.
MIN_MOMENTS_ANSWERED: Final = 5
# Crashes that suffice with fewer unexplained moments: two, or one of three moments in all. The
# requests of one moment may be those of a zone that failed.
MIN_CRASHES: Final = 5
MIN_MOMENTS_OF_CRASHES: Final = 2
# Weight of a moment that another content explains, next to one without an explanation.
EXPLAINED_WEIGHT: Final = 0.5
# Among contents with nearly the evidence of the strongest one, the most specific is blamed: what
# all requests of a route hold is part of each crash too.
SIMILAR_EVIDENCE: Final = 0.75


class HarmEvidence(NamedTuple):
    """Why a content is believed to end endpoints; times are in seconds on the board's clock."""

    crashes: int
    moments: int
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
    `answered` has the contents on which answers were begun; a whole answer voids earlier crashes.
    """
    evidence = _repeated_evidence(crashes, answered)
    # Depth of the blamed content that explains the end of an endpoint.
    explained: dict[str, int] = {}
    harmful: dict[Content, HarmEvidence] = {}
    while True:
        candidates = [
            _candidate(content, found, explained)
            for content, found in evidence.items()
            if content not in harmful
        ]
        cause = _strongest(candidates, answered)
        if cause is None:
            return CrashCauses(harmful, frozenset(explained))
        harmful[cause.content] = _describe(cause.crashes)
        explained |= {crash.endpoint: cause.depth for crash in cause.crashes}


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


def count_moments(crashes: Iterable[EndpointCrash]) -> int:
    """Return the number of moments at which crashes happened, which are ordered by time."""
    moments = 0
    begun_s = float("-inf")
    for crash in crashes:
        if crash.at_s > begun_s + MOMENT_S:
            moments += 1
            begun_s = crash.at_s
    return moments


def _repeated_evidence(
    crashes: Iterable[EndpointCrash], answered: Mapping[Content, AnsweredContent]
) -> dict[Content, list[EndpointCrash]]:
    """Return the crashes that count against each content of several ones, ordered by time.

    Nearly all contents are part of one crash.
    """
    ordered = sorted(crashes, key=lambda crash: (crash.at_s, crash.endpoint))
    counts = Counter(chain.from_iterable(crash.contents for crash in ordered))
    evidence: dict[Content, list[EndpointCrash]] = defaultdict(list)
    for crash in ordered:
        for content in crash.contents:
            if counts[content] > 1 and counts_against(content, crash, answered):
                evidence[content].append(crash)
    return evidence


def _candidate(
    content: Content, crashes: list[EndpointCrash], explained: Mapping[str, int]
) -> _Candidate:
    depth = max(crash.contents[content] for crash in crashes)
    counted = [crash for crash in crashes if explained.get(crash.endpoint, 0) <= depth]
    return _Candidate(
        content,
        depth,
        tuple(crashes),
        len(counted),
        count_moments(counted),
        count_moments(crash for crash in crashes if crash.endpoint not in explained),
    )


def _strongest(
    candidates: Iterable[_Candidate], answered: Collection[Content]
) -> _Candidate | None:
    """Return the content to blame next, None if no content has enough evidence."""
    blamed = [c for c in candidates if _has_enough_evidence(c, answered)]
    # Contents that answers have been begun on are blamed for what the others do not explain.
    fresh = [c for c in blamed if not _needs_more(c, answered)]
    blamed = fresh or blamed
    if not blamed:
        return None
    strongest = max(c.unexplained for c in blamed)
    similar = [c for c in blamed if c.unexplained >= SIMILAR_EVIDENCE * strongest]
    return max(similar, key=lambda c: (c.specificity, c.unexplained, c.content.name))


def _needs_more(candidate: _Candidate, answered: Collection[Content]) -> bool:
    """Return whether a content is likely to be sound, or is part of many crashes by chance.

    That is the case of a request that its gateway and its caller repeat while endpoints end for
    other reasons, and of the customer of many requests.
    """
    return candidate.content in answered or candidate.content.kind is not ContentKind.PART


def _has_enough_evidence(candidate: _Candidate, answered: Collection[Content]) -> bool:
    if not candidate.unexplained:
        return False
    if _needs_more(candidate, answered):
        return candidate.unexplained >= MIN_MOMENTS_ANSWERED
    if candidate.score >= MIN_MOMENTS:
        return True
    if candidate.counted < MIN_CRASHES:
        return False
    return candidate.unexplained >= MIN_MOMENTS_OF_CRASHES or candidate.moments >= MIN_MOMENTS


def _describe(crashes: tuple[EndpointCrash, ...]) -> HarmEvidence:
    return HarmEvidence(
        len(crashes),
        count_moments(crashes),
        crashes[0].at_s,
        crashes[-1].at_s,
        tuple(crash.endpoint for crash in crashes),
    )
