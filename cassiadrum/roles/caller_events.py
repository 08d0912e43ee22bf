"""What the router tells the task that answers a caller."""

from typing import NamedTuple

from cassiadrum.frontends import Problem

__all__ = ["AnswerData", "AnswerEnd", "AnswerHead", "CallerEvent"]


class AnswerHead(NamedTuple):
    """Status and headers of the answer; `answer_id` names where its rest can be fetched."""

    status: int
    headers: tuple[tuple[str, str], ...]
    answer_id: str


class AnswerData(NamedTuple):
    """Bytes of the answer, and the position up to which they confirm the attempt."""

    data: bytes
    attempt_id: str
    position: int


class AnswerEnd(NamedTuple):
    """The end of the answer; `problem` is None when it is whole."""

    problem: Problem | None


CallerEvent = AnswerHead | AnswerData | AnswerEnd
