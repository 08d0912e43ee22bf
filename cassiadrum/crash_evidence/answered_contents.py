"""Contents of requests on which endpoints have begun answers."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

from cassiadrum.crash_evidence.contents import Content, ContentKind
from cassiadrum.crash_evidence.endpoint_crashes import AnsweredContent

__all__ = ["CLOCK_TOLERANCE_S", "AnsweredContents"]

# Contents of own answers, the least recently used of which are forgotten.
MAX_ANSWERED: Final = 4096
# Times that were converted between clocks differ by less than this.
CLOCK_TOLERANCE_S: Final = 0.1


class AnsweredContents(Mapping[Content, AnsweredContent]):
    """The contents of answers of this instance, and those that other instances tell.

    As a mapping it has the newest of both.
    """

    def __init__(self) -> None:
        self.own: OrderedDict[Content, AnsweredContent] = OrderedDict()
        self.told: dict[Content, AnsweredContent] = {}

    def __getitem__(self, content: Content) -> AnsweredContent:
        own, told = self.own.get(content), self.told.get(content)
        if own is None:
            return self.told[content]
        if told is None or (own.whole_s or 0.0) >= (told.whole_s or 0.0):
            return own
        return told

    def __iter__(self) -> Iterator[Content]:
        return iter(self.own.keys() | self.told.keys())

    def __len__(self) -> int:
        return len(self.own.keys() | self.told.keys())

    def __contains__(self, content: object) -> bool:
        return content in self.own or content in self.told

    def record_begun(self, contents: Iterable[Content]) -> None:
        """Record an answer that was begun, but for whole requests: few are the same."""
        for content in contents:
            if content.kind is not ContentKind.REQUEST:
                self._keep(self.own.get(content) or AnsweredContent(content, None))

    def record_whole(self, content: Content, now: float) -> None:
        """Record a whole answer."""
        self._keep(AnsweredContent(content, now))

    def adopt(self, answered: AnsweredContent) -> None:
        """Take over what an earlier process of this instance knew."""
        self.own.setdefault(answered.content, answered)

    def add_told(self, answered: AnsweredContent) -> bool:
        """Add what another instance tells; return whether it is new."""
        known = self.told.get(answered.content)
        if known is not None:
            later_s = (answered.whole_s or 0.0) - (known.whole_s or 0.0)
            if later_s < CLOCK_TOLERANCE_S:
                return False
        self.told[answered.content] = answered
        return True

    def forget_told(self, needed: Collection[Content]) -> None:
        """Forget what other instances tell of all other contents."""
        for content in [content for content in self.told if content not in needed]:
            del self.told[content]

    def _keep(self, answered: AnsweredContent) -> None:
        self.own[answered.content] = answered
        self.own.move_to_end(answered.content)
        if len(self.own) > MAX_ANSWERED:
            self.own.popitem(last=False)
