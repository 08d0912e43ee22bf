"""The endpoints that ended in the last day."""

from collections.abc import Callable, Collection
from typing import Final

from cassiadrum.crash_evidence.answered_contents import CLOCK_TOLERANCE_S
from cassiadrum.crash_evidence.contents import Content
from cassiadrum.crash_evidence.endpoint_crashes import EndpointCrash

__all__ = ["EVIDENCE_S", "CrashRecords"]

# Time for which a crash counts as evidence.
EVIDENCE_S: Final = 24 * 3600.0
# Contents kept of one crash; callers choose how many a request has.
MAX_CRASH_CONTENTS: Final = 128


class CrashRecords:
    """At most `size` crashes by endpoint.

    `rank` orders the contents of a crash that has too many: those with the lowest rank are kept.
    """

    def __init__(self, size: int, rank: Callable[[Content], tuple[float, ...]]) -> None:
        self._size = size
        self._rank = rank
        self._crashes: dict[str, EndpointCrash] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def ordered(self) -> list[EndpointCrash]:
        """Return the crashes in order of time."""
        return sorted(self._crashes.values(), key=lambda crash: (crash.at_s, crash.endpoint))

    def contents(self) -> set[Content]:
        """Return the contents of all crashes."""
        return {content for crash in self._crashes.values() for content in crash.contents}

    def add(self, crash: EndpointCrash) -> bool:
        """Add a crash, or what else is known of it; return whether that is new."""
        known = self._crashes.get(crash.endpoint)
        if known is None:
            self._crashes[crash.endpoint] = self._bounded(crash)
            return True
        is_later = crash.at_s > known.at_s - CLOCK_TOLERANCE_S
        if is_later and _tells_nothing_new(crash, known):
            return False
        merged = self._bounded(known.merged(crash))
        self._crashes[crash.endpoint] = merged
        return merged != known

    def limit(self, needed: Collection[str]) -> None:
        """Forget the oldest crashes beyond the size, those of the needed endpoints last."""
        excess = len(self._crashes) - self._size
        if excess <= 0:
            return
        by_need = sorted(self.ordered(), key=lambda crash: crash.endpoint in needed)
        for crash in by_need[:excess]:
            del self._crashes[crash.endpoint]

    def expire(self, now: float) -> bool:
        """Forget the crashes that no longer count; return whether there were any."""
        old = [crash for crash in self._crashes.values() if crash.at_s < now - EVIDENCE_S]
        for crash in old:
            del self._crashes[crash.endpoint]
        return bool(old)

    def _bounded(self, crash: EndpointCrash) -> EndpointCrash:
        if len(crash.contents) <= MAX_CRASH_CONTENTS:
            return crash
        kept = sorted(crash.contents, key=self._rank)[:MAX_CRASH_CONTENTS]
        exposures = {c: found for c, found in crash.exposures.items() if c in kept}
        contents = {content: crash.contents[content] for content in kept}
        return crash._replace(contents=contents, exposures=exposures)


def _tells_nothing_new(crash: EndpointCrash, known: EndpointCrash) -> bool:
    return (
        crash.contents.keys() <= known.contents.keys()
        and crash.exposures.items() <= known.exposures.items()
        and crash.peers <= known.peers
    )
