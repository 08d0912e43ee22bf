"""Events that the router sends to the task that serves a caller."""

from typing import NamedTuple

from cassiadrum.frontends import Problem

__all__ = ["AnswerData", "AnswerEnd", "AnswerHead", "CallerEvent"]


class AnswerHead(NamedTuple):
    """Status and headers of the answer; `answer_id` identifies it for a later fetch."""

    status: int
    headers: tuple[tuple[str, str], ...]
    answer_id: str


class AnswerData(NamedTuple):
    """Bytes of the answer; once written, the attempt is acknowledged up to `position`."""

    data: bytes
    attempt_id: str
    position: int


class AnswerEnd(NamedTuple):
    """The end of the answer; `problem` is None when the answer is complete."""

    problem: Problem | None


CallerEvent = AnswerHead | AnswerData | AnswerEnd
