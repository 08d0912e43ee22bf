"""Endpoints that ended while they began answers."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from cassiadrum.crash_evidence.contents import Content, Contents
from cassiadrum.crash_evidence.exposures import Exposure

__all__ = ["NO_EXPOSURES", "AnsweredContent", "EndpointCrash"]

NO_EXPOSURES: Final[Mapping[Content, Exposure]] = MappingProxyType({})


class EndpointCrash(NamedTuple):
    """The end of an endpoint's process.

    `endpoint` identifies one start of it. `at_s` is a time in seconds on the clock of the board
    that keeps the crash. `contents` are those of all requests whose answers it may have begun, and
    `exposures` are known for some of the whole requests among them. `peers` is the number of
    endpoints that the service had, as far as is known.
    """

    endpoint: str
    at_s: float
    contents: Contents
    exposures: Mapping[Content, Exposure] = NO_EXPOSURES
    peers: int = 1

    def merged(self, other: "EndpointCrash") -> "EndpointCrash":
        """Return the same crash with what another instance knows of it."""
        exposures = dict(self.exposures)
        for content, exposure in other.exposures.items():
            exposures[content] = exposure.merged(exposures.get(content, exposure))
        return EndpointCrash(
            self.endpoint,
            min(self.at_s, other.at_s),
            {**other.contents, **self.contents},
            exposures,
            max(self.peers, other.peers),
        )


class AnsweredContent(NamedTuple):
    """A content on which an endpoint has begun an answer, and gone on.

    `whole_s` is the time in seconds of the last whole answer, None if none is known.
    """

    content: Content
    whole_s: float | None
