"""Endpoints that ended while they began answers."""

from typing import NamedTuple

from cassiadrum.crash_evidence.contents import Content, Contents

__all__ = ["AnsweredContent", "EndpointCrash"]


class EndpointCrash(NamedTuple):
    """The end of an endpoint's process.

    `endpoint` identifies one start of it. `at_s` is a time in seconds on the clock of the board
    that keeps the crash. `contents` are those of all requests whose answers it may have begun.
    """

    endpoint: str
    at_s: float
    contents: Contents

    def merged(self, other: "EndpointCrash") -> "EndpointCrash":
        """Return the same crash with what another instance knows of it."""
        contents = {**other.contents, **self.contents}
        return EndpointCrash(self.endpoint, min(self.at_s, other.at_s), contents)


class AnsweredContent(NamedTuple):
    """A content on which an endpoint has begun an answer, and gone on.

    `whole_s` is the time in seconds of the last whole answer, None if none is known.
    """

    content: Content
    whole_s: float | None
