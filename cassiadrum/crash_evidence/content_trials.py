"""Single requests that are sent although a content of theirs is blamed."""

from collections.abc import Callable
from math import inf

from cassiadrum.crash_evidence.contents import Content, ContentKind, Contents, find_request
from cassiadrum.crash_evidence.crash_boards import CrashBoard

__all__ = ["ContentTrials"]


class ContentTrials:
    """Lets a request pass now and then while it is in doubt whether its content ends endpoints.

    A sound content is cleared by the whole answer; a harmful one ends one more endpoint, after
    which fewer requests pass or none. `rank` returns the position of this instance in an order of
    all instances that differs by key: each waits for one interval longer than the one before it,
    so that one instance at a time lets a request pass. `clock` is that of the board.
    """

    def __init__(
        self, board: CrashBoard, rank: Callable[[str], int], clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._rank = rank
        self._clock = clock
        # Time of the last trial of a content that is still blamed.
        self._tried_s: dict[Content, float] = {}

    def try_admit(self, contents: Contents) -> Content | None:
        """Return the blamed content with which a request passes, None if it must not.

        A request passes with one blamed content only. For a part or a customer it must not be one
        under which an endpoint has ended, which would tell nothing about the others.
        """
        harmful = self._board.harmful
        blamed = [content for content in contents if content in harmful]
        if len(blamed) != 1:
            return None
        content = blamed[0]
        delay_s = harmful[content].trial_delay_s
        if delay_s is None or self._has_own_crash(content, contents):
            return None
        now = self._clock()
        due_s = harmful[content].last_s + delay_s * (1 + self._rank(str(content)))
        if now < max(due_s, self._tried_s.get(content, -inf) + delay_s):
            return None
        self._tried_s = {found: at_s for found, at_s in self._tried_s.items() if found in harmful}
        self._tried_s[content] = now
        return content

    def _has_own_crash(self, blamed: Content, contents: Contents) -> bool:
        request = find_request(contents)
        if request is None or blamed.kind is ContentKind.REQUEST:
            return False
        return self._board.has_crash(request)
